#pragma once

#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_network/http1/Http1Messages.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <string>

namespace hornbeamlane {

/** Reads in the heads of answers what servers ask of this entry, tells the list of servers, logs and counts it. */
class ServerNoticeReader final
{
public:
    /** The references must outlive this. */
    ServerNoticeReader(EventLoop &loop, MetricsRegistry &metrics, const GatewayHeaders &names, BackendBook &servers);

    /** The head of the server's own answer to a request. */
    void onAnswer(const std::string &attemptId, const ServerStart &start, const Http1ResponseHead &head);

    /** Begins the next count of lines. */
    void sweep();

private:
    void readLeaving(const std::string &attemptId, const ServerStart &start, const std::string &value);
    void readPause(const std::string &attemptId, const ServerStart &start, const std::string &value);
    void logUnreadable(const std::string &attemptId, const ServerStart &start, const std::string &header,
                       const std::string &value);

    EventLoop &loop_;
    MetricsRegistry &metrics_;
    const GatewayHeaders &names_;
    BackendBook &servers_;
    /** Lines wanted since the last sweep. */
    std::size_t unreadableLines_ = 0;
    std::size_t pauseLines_ = 0;
};

} // namespace hornbeamlane
