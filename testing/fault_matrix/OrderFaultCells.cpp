#include "fault_matrix/OrderFaultCells.h"

#include "fault_matrix/OrderWorld.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>

namespace hornbeamlane::testing {

namespace {

using Violations = std::map<std::string, std::string>;

constexpr std::array<std::pair<const char *, const char *>, 3> invariants = {{
    {"C4", "C4 whole answer to its own request"},
    {"C5", "C5 true refusals"},
    {"C6", "C6 at most once"},
}};

/** Second faults of the pairs: a subset, because all of them would take too long with sanitizers. */
constexpr std::array secondFaults = {"message lost", "message doubled", "message delayed late", "agent killed",
                                     "table down",   "agent refuses",   "sent to other entry",  "entry frozen late"};

/** Messages after the first fault at which the second strikes; enough to reach the answer to a send. */
constexpr std::size_t secondFaultReach = 7;

/** Cells that fail without a mechanism. */
struct Protection
{
    const char *mechanism;
    const char *invariant;
    /** "*" for all, "a;b" for these, "!a;b" for all but these. */
    std::string_view steps;
    std::string_view faults;
};

/** Message kind of the cells that strike twice. */
constexpr const char *pairStep = "any message";

// The result of running every cell without each mechanism; OrderFaultCellsTest compares them again.
constexpr Protection protections[] = {
    {"attempt-match", "C4", "any message", "message crossed"},
    {"claim-before-dispatch", "C5", "*", "key reused"},
    {"claim-before-dispatch", "C5", "any message", "message lost;agent refuses;sent to other entry;key reused"},
    {"claim-before-dispatch", "C6", "*", "*"},
    {"claim-before-dispatch", "C6", "any message", "*"},
    {"claim-read-back", "C5", "any message",
     "message lost;message delayed late;entry killed;entry frozen late;agent refuses;sent to other entry"},
    {"claim-read-back", "C6", "!row read reply", "table stale"},
    {"claim-read-back", "C6", "any message", "!table slow"},
    {"claim-read-back", "C6", "claim write;claim write reply;dispatch", "sent to other entry"},
    {"claim-read-back", "C6", "dispatch;response head;response data;response end", "entry killed;entry frozen late"},
    {"claim-read-back", "C6", "record write", "message lost"},
    {"claim-read-back", "C6", "response end;record write", "message delayed late"},
    {"deadline-check", "C5", "any message", "message lost;agent refuses"},
    {"digest-check", "C4", "!dispatch", "key reused"},
    {"digest-check", "C4", "any message", "key reused"},
    {"dispatch-window", "C5", "any message", "message doubled late"},
    {"dispatch-window", "C6", "any message",
     "!agent killed;agent frozen late;table down;table slow;table replies lost;table stale"},
    {"dispatch-window", "C6", "dispatch", "message delayed late"},
    {"earlier-send-check", "C5", "!row read;row read reply", "table down;table slow;table replies lost"},
    {"earlier-send-check", "C5", "any message", "*"},
    {"earlier-send-check", "C5", "claim write;claim write reply", "entry frozen late"},
    {"incarnation-check", "C6", "any message", "message doubled"},
    {"removal-before-refusal", "C5", "any message",
     "message lost;message delayed;entry frozen;entry frozen late;agent refuses;sent to other entry"},
    {"sequence-check", "C4", "any message", "!entry killed"},
    {"sequence-check", "C4", "response data", "message lost;message delayed;message delayed late;message reordered"},
    {"single-use-attempt", "C5", "any message", "message doubled;agent refuses"},
    {"single-use-attempt", "C6", "any message", "!agent killed;agent frozen late"},
    {"single-use-attempt", "C6", "dispatch", "message doubled"},
    {"void-on-query", "C6", "any message", "message delayed;entry frozen"},
};

bool isListed(std::string_view list, std::string_view name)
{
    const bool isException = list.starts_with('!');
    list.remove_prefix(isException ? 1 : 0);
    bool isFound = list == "*";
    while (!isFound && !list.empty()) {
        const auto end = std::min(list.find(';'), list.size());
        isFound = list.substr(0, end) == name;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return isFound != isException;
}

std::vector<std::string> protectorsOf(std::string_view invariant, const std::string &step, const std::string &fault)
{
    std::vector<std::string> mechanisms;
    for (const auto &protection : protections) {
        const bool isPair = protection.steps == pairStep;
        if (protection.invariant == invariant && isPair == (step == pairStep) && isListed(protection.steps, step)
            && isListed(protection.faults, fault)) {
            mechanisms.emplace_back(protection.mechanism);
        }
    }
    return mechanisms;
}

/** Runs one set of faults, adds its violations and returns the messages that were sent. */
std::vector<std::string> runOnce(const std::vector<OrderFaultAt> &faults, const DisabledMechanisms &disabled,
                                 Violations &violations)
{
    const auto run = runOrderWorld(faults, disabled);
    for (const auto &[invariant, detail] : run.violations) {
        std::string place;
        for (const auto &fault : faults) {
            const bool isReached = fault.step < run.steps.size();
            place += fault.fault + " at " + (isReached ? run.steps[fault.step] : "no message") + ", ";
        }
        violations.emplace(invariant, place + detail);
    }
    return run.steps;
}

/** One fault at each message of one kind. */
Violations runSingle(const std::string &kind, const std::string &fault, const DisabledMechanisms &disabled)
{
    Violations violations;
    const auto steps = runOnce({}, disabled, violations);
    for (std::size_t step = 0; step < steps.size(); ++step) {
        if (steps[step] == kind) {
            runOnce({{fault, step}}, disabled, violations);
        }
    }
    return violations;
}

/** One fault at each message of the first send, followed by a second at the same or one of the next messages. */
Violations runPairs(const std::string &first, const DisabledMechanisms &disabled)
{
    Violations violations;
    const auto steps = runOnce({}, disabled, violations);
    const auto isLast = [](const std::string &kind) { return kind == "result recorded"; };
    const auto count = std::find_if(steps.begin(), steps.end(), isLast) - steps.begin();
    for (std::size_t step = 0; step <= static_cast<std::size_t>(count); ++step) {
        for (const auto second : secondFaults) {
            for (std::size_t next = step; next < step + secondFaultReach; ++next) {
                runOnce({{first, step}, {second, next}}, disabled, violations);
            }
        }
    }
    return violations;
}

/** The cells of one run, one for each invariant; the run is not repeated for the second and third. */
void addCells(FaultCells &cells, const std::string &step, const std::string &fault,
              std::function<Violations(const DisabledMechanisms &)> run)
{
    struct Memory
    {
        std::optional<DisabledMechanisms> disabled;
        Violations violations;
    };
    const auto runRemembered = [run = std::move(run),
                                memory = std::make_shared<Memory>()](const DisabledMechanisms &disabled) {
        if (memory->disabled != disabled) {
            memory->violations = run(disabled);
            memory->disabled = disabled;
        }
        return memory->violations;
    };
    for (const auto &[id, name] : invariants) {
        const auto runCell = [runRemembered, invariant = std::string(id)](const DisabledMechanisms &disabled) {
            const auto violations = runRemembered(disabled);
            const auto found = violations.find(invariant);
            return found == violations.end() ? CellResult{true, ""} : CellResult{false, found->second};
        };
        cells.push_back({.invariant = name,
                         .step = step,
                         .fault = fault + (step == pairStep ? ", then another fault" : ""),
                         .protectedBy = protectorsOf(id, step, fault),
                         .run = runCell});
    }
}

} // namespace

void addOrderFaultCells(FaultCells &cells)
{
    Violations violations;
    auto steps = runOnce({}, {}, violations);
    std::sort(steps.begin(), steps.end());
    steps.erase(std::unique(steps.begin(), steps.end()), steps.end());
    for (const auto &fault : orderFaults()) {
        for (const auto &step : steps) {
            addCells(cells, step, fault,
                     [step, fault](const DisabledMechanisms &disabled) { return runSingle(step, fault, disabled); });
        }
        addCells(cells, pairStep, fault,
                 [fault](const DisabledMechanisms &disabled) { return runPairs(fault, disabled); });
    }
}

} // namespace hornbeamlane::testing
