#pragma once

#include "fault_matrix/FaultCell.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

enum class MembershipFaultKind {
    MessageLost,
    MessageDoubled,
    MessageDelayed,
    MessageReordered,
    ReceiverKilled, ///< The receiver dies on this message and starts empty one second later.
    ReceiverPaused, ///< The receiver freezes on this message and resumes four seconds later.
    TableRefuses,
    TableSlow,
    TableStale, ///< The reply shows the row as it was ten seconds before.
    TableReplyLost,
    TableRequestLost,
    TableWriteLate, ///< The writer gets no reply, and the write is carried out three seconds later.
};

/** A fault at the n-th occurrence of a step, such as a message type or a kind of table request. */
struct MembershipFault
{
    MembershipFaultKind kind = MembershipFaultKind::MessageLost;
    std::string step;
    std::size_t occurrence = 0;
};

/**
    Two data centres with three entries and one or two agents each, a table and an operator, on a virtual clock.

    Runs the real keepers and operations and checks, all the time, that versions never revert and that no work starts
    on a drained server; finish() checks that every process has arrived at the accepted state in time.
*/
class MembershipWorld final
{
public:
    using Time = std::chrono::milliseconds;

    MembershipWorld(DisabledMechanisms disabled, std::vector<MembershipFault> faults);
    ~MembershipWorld();

    MembershipWorld(const MembershipWorld &) = delete;
    MembershipWorld &operator=(const MembershipWorld &) = delete;

    /** Faults strike, and occurrences are counted anew, from this time until that one. */
    void setWindow(Time begin, Time end);

    void at(Time time, std::function<void()> task);
    void run(Time until);

    void kill(const std::string &name);
    void restart(const std::string &name);
    void pause(const std::string &name);
    void resume(const std::string &name);

    /** Cuts a data centre or one process off from the table; a later call with false mends it. */
    void cutPlatform(const std::string &name, bool isCut);
    /** Cuts the data centres off from each other, or one link. */
    void cutDataCentres(bool isCut);
    void cutLink(const std::string &first, const std::string &second, bool isCut);

    void setTable(bool isDown, Time delay, Time staleness);

    /** The operator's commands, against the table. */
    void apply(CatalogueVersion base, const std::string &content = "first");
    void drain(const DrainRecord &record);
    void undrain(const DrainRecord &record);
    /** `drain --local --entry`. */
    void drainAtEntry(const std::string &entry, const DrainRecord &record);

    /** News has no path to some place before this time. */
    void excuseUntil(Time time);

    /** No work may start in the data centre in this time, because its policy is stop. */
    void expectStop(const std::string &dataCentre, Time begin, Time end);

    /** Checks that the data centre has the accepted version and all drains now. */
    void expectUpToDate(const std::string &dataCentre);

    /** Names of the entries of a data centre that read the table now. */
    std::vector<std::string> readers(const std::string &dataCentre) const;

    /** Checks the end state: versions within 6 s, one drain set everywhere and in the table, work on `sc`. */
    void finish();

    /** The first condition that did not hold; empty if all did. */
    const std::string &violation() const
    {
        return violation_;
    }

    /** How often each step occurred in the window. */
    const std::map<std::string, std::size_t> &occurrences() const
    {
        return occurrences_;
    }

private:
    struct Process;
    struct Event
    {
        Time time;
        std::uint64_t sequence;
        std::function<void()> task;
        bool operator>(const Event &other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };
    struct StoredRow
    {
        Time since;
        TableRow row;
    };
    struct Expectation
    {
        DrainRecord record;
        Time since;
        bool isRemoved = false;
    };

    struct Applied
    {
        std::string document;
        ApplyOutcome outcome;
    };

    bool isOff(const std::string &mechanism) const;
    TimePoint now() const;
    void fail(const std::string &text);
    void addProcess(const std::string &name, const std::string &dataCentre, ProcessRole role);
    void start(Process &process);
    void connect(Process &first, Process &second);
    bool isReachable(const Process &first, const Process &second) const;
    bool isNeighbour(const Process &first, const Process &second) const;
    void deliver(Process &process, std::function<void()> task);
    void perform(Process &process, const KeeperActions &actions);
    void send(Process &from, Process &to, const Message &message);
    void receive(Process &from, Process &to, const Message &message);
    void putInForce(Process &process, CatalogueVersion version);
    void startWork(Process &agent);
    void checkApplied();
    void checkProcess(const Process &process);
    void tick(Process &process);
    bool isInWindow() const;
    const MembershipFault *strike(const std::string &step);
    TableReply access(const TableStep &step, Time staleness);
    void request(bool isCut, const TableStep &step, const std::function<void(const TableReply &)> &handler);
    void setLink(Process &first, Process &second, bool isCut);
    template <class Operation>
    void operate(std::shared_ptr<Operation> operation, std::function<void()> onEnd);

    DisabledMechanisms disabled_;
    std::vector<MembershipFault> faults_;
    Time time_{0};
    Time windowBegin_{0};
    Time windowEnd_{0};
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::map<std::string, std::unique_ptr<Process>> processes_;
    HostView hosts_;
    std::map<std::string, std::vector<StoredRow>> rows_;
    bool isTableDown_ = false;
    Time tableDelay_{0};
    Time tableStaleness_{0};
    std::set<std::string> cutPlatforms_;
    std::set<std::pair<std::string, std::string>> cutLinks_;
    bool areDataCentresCut_ = false;
    std::map<std::string, CatalogueVersion> established_;
    CatalogueVersion headVersion_;
    Time acceptedAt_{0};
    /** End of the last fault that takes a path of the news away. */
    Time faultsEnd_{0};
    std::vector<Expectation> drains_;
    std::vector<Applied> applied_;
    std::map<std::string, std::pair<Time, Time>> stops_;
    std::map<std::string, Time> lastWork_;
    std::map<std::string, std::size_t> occurrences_;
    std::string violation_;
};

} // namespace hornbeamlane::testing
