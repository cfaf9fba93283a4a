#pragma once

#include "hornbeamlane_entry/CallerRequest.h"
#include "hornbeamlane_network/hornbeamlane_network.h"

#include <functional>
#include <memory>
#include <vector>

namespace hornbeamlane {

/** One caller's request from its acceptance to the end of its answer, over all its attempts. */
class RequestFlow final
{
public:
    /** What the flow needs from the entry. */
    struct Hooks
    {
        std::function<std::optional<ServerId>(const CallerRequest &, const std::vector<ServerId> &tried)> chooseServer;
        /** New attempt of this flow at a server; empty if its link is gone. */
        std::function<std::optional<AttemptId>(const ServerId &)> beginAttempt;
        std::function<bool(const ServerId &, const Message &)> send;
        /** The flow is over; the entry destroys it on the next turn. */
        std::function<void(const AttemptId &lastAttempt)> finished;
    };

    RequestFlow(CallerRequest request, std::shared_ptr<HttpExchange> exchange, Hooks hooks);

    void start();
    void onMessage(const Message &message);
    void onServerLost(const ServerId &server);

private:
    void tryNextServer(const Refusal &lastRefusal);
    void handleHead(const ResponseHead &head);
    void handleData(const ResponseData &data);
    void handleEnd();
    void handleRejected(const Rejected &rejected);
    void refuse(const Refusal &refusal);
    void grantCredit();
    void handleCallerGone();
    void finish();

    CallerRequest request_;
    std::shared_ptr<HttpExchange> exchange_;
    Hooks hooks_;
    std::vector<ServerId> tried_;
    ServerId server_;
    AttemptId attempt_;
    std::uint64_t nextSequence_ = 0;
    std::uint64_t uncreditedBytes_ = 0;
    HttpResponse response_;
    bool isOver_ = false;
};

} // namespace hornbeamlane
