#pragma once

#include "fault_matrix/FaultCell.h"
#include "hornbeamlane_orders/hornbeamlane_orders.h"

#include <array>
#include <map>
#include <memory>

namespace hornbeamlane::testing {

enum class OrderFault {
    MessageLost,
    MessageDoubled,
    MessageDoubledLate, ///< The second copy arrives after the dispatch window.
    MessageDelayed,
    MessageDelayedLate, ///< Arrives after the dispatch window.
    MessageReordered,
    MessageCrossed, ///< A response frame of another attempt arrives first.
    EntryKilled,
    EntryFrozen,
    EntryFrozenLate, ///< Resumes after the dispatch window.
    AgentKilled,
    AgentFrozen,
    AgentFrozenLate,
    AgentRefuses, ///< Admission control refuses the dispatch after the ledger has accepted it.
    TableDown,
    TableSlow,
    TableRepliesLost,
    TableStale, ///< Reads return the version before the newest.
    SentToOtherEntry,
    KeyReused, ///< Another request with the same key arrives at the other entry.
};

constexpr std::size_t orderFaultCount = static_cast<std::size_t>(OrderFault::KeyReused) + 1;

std::string toString(OrderFault fault);

/** A fault that strikes when the message with this number is sent. */
struct OrderFaultAt
{
    OrderFault fault;
    std::size_t step;
};

/** Virtual time, a table, two entries and a server whose agent can restart. Runs a few sends of one keyed request. */
class OrderWorld final
{
public:
    OrderWorld(std::vector<OrderFaultAt> faults, const DisabledMechanisms &disabled);
    ~OrderWorld();
    OrderWorld(const OrderWorld &) = delete;
    OrderWorld &operator=(const OrderWorld &) = delete;

    void run();

    /** Kind of each message that was sent, in order; the index is the step. */
    const std::vector<std::string> &steps() const
    {
        return steps_;
    }

    /** Violations, the key being "C4", "C5" or "C6". */
    const std::map<std::string, std::string> &violations() const
    {
        return violations_;
    }

private:
    struct Process;
    struct Call;
    struct Execution;
    struct Message;

    void at(std::chrono::milliseconds time, std::function<void()> event);
    void atProcess(Process &process, std::chrono::milliseconds time, std::function<void()> event);
    void send(Message message);
    void strike(OrderFault fault, Message &message);
    void call(std::size_t entry, const std::string &content);
    void step(const std::shared_ptr<Call> &call, const std::function<ClaimActions(ClaimCoordinator &)> &input);
    void sendToAgent(Process &entry, const char *kind, std::function<void()> receive);
    void sendToEntry(Process &entry, const char *kind, std::function<ClaimActions(ClaimCoordinator &)> receive);
    void carryOut(const std::shared_ptr<Call> &call, const ClaimAction &action);
    void dispatch(const std::shared_ptr<Call> &call, const DispatchAttempt &action);
    TableReply writeTable(const TableWrite &write);
    TableReply readTable();
    void requestTable(const std::shared_ptr<Call> &call, TableOperation operation, const std::string &kind,
                      std::function<TableReply()> apply);
    void receiveDispatch(Process &entry, const Dispatch &dispatch);
    void respond(Process &entry, const AttemptId &attempt, const std::string &body);
    void eachCall(const Process &entry, const std::function<ClaimActions(ClaimCoordinator &, Call &)> &input);
    void restartAgent();
    void loseLink(Process &entry, std::chrono::milliseconds after);
    void violate(const std::string &invariant, const std::string &detail);
    template <class... Arguments>
    void disable(const char *mechanism, std::function<bool(Arguments...)> &hook, bool result) const;
    TimePoint now() const;
    std::chrono::milliseconds agentTime() const;

    std::vector<OrderFaultAt> faults_;
    DisabledMechanisms disabled_;
    std::chrono::milliseconds time_{0};
    std::multimap<std::chrono::milliseconds, std::function<void()>> events_;
    std::vector<std::string> steps_;
    std::map<std::string, std::string> violations_;
    /** All versions of the only row; a removed row has the version of an absent one. */
    std::vector<TableRow> versions_;
    std::map<OrderFault, std::chrono::milliseconds> tableFaultUntil_;
    bool agentRefuses_ = false;
    std::array<std::unique_ptr<Process>, 3> processes_;
    std::unique_ptr<AttemptLedger> ledger_;
    std::vector<std::shared_ptr<Call>> calls_;
    std::vector<Execution> executions_;
};

} // namespace hornbeamlane::testing
