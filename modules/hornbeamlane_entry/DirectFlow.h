#pragma once

#include "hornbeamlane_entry/RequestFlow.h"
#include "hornbeamlane_orders/hornbeamlane_orders.h"

namespace hornbeamlane {

/**
    Flow of a request without a claim: model requests, repeatable calls, and calls without an idempotency key.

    A model stream whose server is lost goes on at another server from the last event that the caller has received.
*/
class DirectFlow final : public RequestFlow
{
public:
    DirectFlow(CallerRequest request, CallerReply reply, Hooks hooks);

    void start() override;
    void onMessage(const ServerId &server, Incarnation sender, const Message &message) override;
    void onLinkLost(const ServerId &server, Incarnation incarnation) override;
    void onLinkUp(const ServerId &, Incarnation) override
    {
    }
    void onTime() override;
    void onCallerGone() override;
    void onCallerDrained() override;
    std::optional<TimePoint> nextWakeUp() const override;
    bool isFinished() const override;

private:
    void tryNextServer(const Refusal &lastRefusal);
    void dispatchTo(const Target &target, const Refusal &lastRefusal);
    void handleRejected(const Rejected &rejected);
    void handleBroken(const char *detail);
    void retryOrRefuse(const Refusal &refusal);
    bool canResume() const;
    void applyResult(ResponseAssembler::Result result);
    void grantCredit();
    void endAttempt(AttemptEnd how, bool isAnswered);
    void refuse(const Refusal &refusal);

    CallerRequest request_;
    CallerReply reply_;
    Hooks hooks_;
    AttemptTracker tracker_;
    TimePoint deadline_;
    std::vector<ServerId> tried_;
    std::optional<Target> target_;
    Dispatch dispatch_;
    std::optional<ResponseAssembler> assembler_;
    /** Of the answer to the present attempt. */
    int status_ = 0;
    std::uint64_t unpassedBytes_ = 0;
    std::optional<TimePoint> retryAt_;
    Refusal lastRefusal_;
    bool isOver_ = false;
};

} // namespace hornbeamlane
