#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_network/http1/Http1ClientConnection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace hornbeamlane {

/** Kept connections to backend servers. */
class BackendPool final
{
public:
    struct Options
    {
        /** Idle connections are closed so long before the server closes them, so that few requests cross the close. */
        std::chrono::milliseconds idleMargin{700};
        /** Idle time allowed where the server states none. */
        std::chrono::milliseconds defaultIdle{3000};
        std::chrono::milliseconds maxIdle{30000};
        std::chrono::milliseconds peerTimeout{1500};
    };

    struct Counters
    {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
    };

    BackendPool(EventLoop &loop, Options options);

    /** A kept connection, or a new one. */
    std::unique_ptr<Http1ClientConnection> acquire(const ServerId &server, const std::string &address);

    /** Keeps the connection for the next request if it can carry one. */
    void release(const ServerId &server, const std::string &address, std::unique_ptr<Http1ClientConnection> connection);

    void forget(const ServerId &server);

    /** Closes connections that have been idle for too long. */
    void sweep(TimePoint now);

    const Counters &counters() const
    {
        return counters_;
    }

private:
    struct Idle
    {
        std::unique_ptr<Http1ClientConnection> connection;
        TimePoint expiresAt;
    };

    struct Connections
    {
        std::string address;
        std::vector<Idle> idle;
    };

    /** Destroys a connection outside its own callbacks. */
    void discard(std::unique_ptr<Http1ClientConnection> connection);

    EventLoop &loop_;
    Options options_;
    std::map<ServerId, Connections> servers_;
    Counters counters_;
};

} // namespace hornbeamlane
