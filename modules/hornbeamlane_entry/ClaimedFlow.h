#pragma once

#include "hornbeamlane_entry/RequestFlow.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"
#include "hornbeamlane_orders/hornbeamlane_orders.h"

namespace hornbeamlane {

/** Flow of an unrepeatable call with an idempotency key: carries out the actions of a ClaimCoordinator. */
class ClaimedFlow final : public RequestFlow
{
public:
    /** Pairs a reply of the table with this flow, which may be gone by then. */
    struct TableHooks
    {
        std::function<void(TableOperation, const TableWrite &)> write;
        std::function<void(TableOperation, const std::string &key)> read;
        std::function<void(TableOperation, const std::string &key, RowVersion)> remove;
    };

    ClaimedFlow(CallerRequest request, CallerReply reply, Hooks hooks, TableHooks table);

    void onTableReply(TableOperation operation, const TableReply &reply);

    void start() override;
    void onMessage(const ServerId &server, Incarnation sender, const Message &message) override;
    void onLinkLost(const ServerId &server, Incarnation incarnation) override;
    void onLinkUp(const ServerId &server, Incarnation incarnation) override;
    void onTime() override;
    /** The call goes on: the caller will ask for its result with the same key. */
    void onCallerGone() override
    {
    }
    void onCallerDrained() override
    {
    }
    std::optional<TimePoint> nextWakeUp() const override;
    bool isFinished() const override;

private:
    ClaimCoordinator::Options coordinatorOptions();
    void run(const ClaimActions &actions);
    void carryOut(const ClaimAction &action);
    void dispatch(const DispatchAttempt &action);
    void handleData(const ResponseData &data);
    void applyResult(ResponseAssembler::Result result);
    void endAttempt(bool isAnswered);

    CallerRequest request_;
    CallerReply reply_;
    Hooks hooks_;
    TableHooks table_;
    TimePoint deadline_;
    std::vector<ServerId> tried_;
    ClaimCoordinator coordinator_;
    std::optional<Target> target_;
    Dispatch dispatch_;
    std::optional<ResponseAssembler> assembler_;
    StoredResponse response_;
};

} // namespace hornbeamlane
