#include "measure/MeasureOverload.h"

#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

namespace hornbeamlane::measure {

namespace {

using namespace std::chrono_literals;
using Outcome = AdmissionController::Outcome;

constexpr TimePoint start(1h);
constexpr auto firstTokenTarget = 860ms;
constexpr auto intervalTarget = 40ms;
constexpr auto warmUp = 40s;
constexpr auto length = 100s;
constexpr std::uint32_t concurrency = 64;
/** Limit of the baseline: the best of 40, 48, 56, 64 and 80 at 1 times the capacity. */
constexpr std::size_t tunedLimit = 48;
/** Requests a second at which the engine meets both targets: about 40 sequences of 130 tokens at 35 ms a step. */
constexpr double capacity = 10;
constexpr std::size_t largeTeams = 3;
constexpr std::size_t smallTeams = 30;
/** Part of the load that the large teams send together. */
constexpr double largePart = 0.8;

const ServerId server("server");
const ClassId requestClass("chat");
const ModelId model("model");

struct Input
{
    TimePoint arrival;
    std::size_t team = 0;
    int promptTokens = 0;
    int answerTokens = 0;
};

struct Progress
{
    std::size_t input = 0;
    int promptLeft = 0;
    int tokens = 0;
    TimePoint lastToken;
    std::vector<Duration> intervals;
};

/** Poisson arrivals with prompts and answers of very different lengths. */
std::vector<Input> makeInput(double rate, std::uint64_t seed)
{
    RandomSource random(seed);
    std::vector<Input> input;
    double seconds = 0;
    while (true) {
        seconds -= std::log(1 - random.unit()) / rate;
        if (seconds >= std::chrono::duration<double>(length).count()) {
            return input;
        }
        const bool isLarge = random.unit() < largePart;
        input.push_back(
            {.arrival = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
             .team = isLarge ? random.below(largeTeams) : largeTeams + random.below(smallTeams),
             .promptTokens = 50 + static_cast<int>(std::exp(random.unit() * 7)),
             .answerTokens = 20 + static_cast<int>(random.below(220))});
    }
}

/**
    Continuous batching: a step takes 10 ms, 0.5 ms for each sequence and 1 ms for each 100 prompt tokens, of which at
    most 800 fit into a step.
*/
class SimulatedEngine final
{
public:
    static constexpr int promptBudget = 800;

    void add(std::size_t input, int promptTokens)
    {
        running_.push_back({.input = input, .promptLeft = promptTokens});
    }

    std::vector<Progress> &running()
    {
        return running_;
    }

    /** Distributes the prompt budget, oldest first, and returns the time of the step. */
    Duration beginStep()
    {
        int budget = promptBudget;
        std::size_t generating = 0;
        for (auto &progress : running_) {
            const int taken = std::min(progress.promptLeft, budget);
            progress.promptLeft -= taken;
            budget -= taken;
            generating += progress.promptLeft == 0 ? 1 : 0;
        }
        return 10ms + 500us * static_cast<int>(generating) + 10us * (promptBudget - budget);
    }

private:
    std::vector<Progress> running_;
};

/** What decides which requests run. */
class Policy
{
public:
    virtual ~Policy() = default;
    virtual void submit(std::size_t index, const Input &input, TimePoint now) = 0;
    virtual void firstToken(std::size_t index, TimePoint now) = 0;
    virtual void token(std::size_t index, TimePoint now) = 0;
    virtual void finished(std::size_t index, TimePoint now) = 0;
    virtual std::vector<std::size_t> takeStarts(TimePoint now) = 0;

    std::vector<std::size_t> takeRefused()
    {
        return std::exchange(refused_, {});
    }

protected:
    std::vector<std::size_t> refused_;
};

/** Baseline: at most so many at once, the rest waits in order of arrival without a bound. */
class FixedLimit final : public Policy
{
public:
    explicit FixedLimit(std::size_t limit)
        : limit_(limit)
    {
    }

    void submit(std::size_t index, const Input &, TimePoint) override
    {
        queue_.push_back(index);
    }

    void firstToken(std::size_t, TimePoint) override
    {
    }
    void token(std::size_t, TimePoint) override
    {
    }

    void finished(std::size_t, TimePoint) override
    {
        --running_;
    }

    std::vector<std::size_t> takeStarts(TimePoint) override
    {
        std::vector<std::size_t> starts;
        while (!queue_.empty() && running_ < limit_) {
            starts.push_back(queue_.front());
            queue_.pop_front();
            ++running_;
        }
        return starts;
    }

private:
    std::size_t limit_;
    std::size_t running_ = 0;
    std::deque<std::size_t> queue_;
};

Catalogue makeCatalogue(std::size_t teams)
{
    Catalogue catalogue;
    const DataCentreId dataCentre("a");
    catalogue.dataCentres[dataCentre].header.name = dataCentre.name();
    auto &classEntry = catalogue.classes[requestClass];
    classEntry.header.name = requestClass.name();
    classEntry.firstTokenTarget = firstTokenTarget;
    classEntry.tokenIntervalTarget = intervalTarget;
    auto &entry = catalogue.servers[server];
    entry.header.name = server.name();
    entry.header.limits.concurrency = concurrency;
    entry.dataCentre = dataCentre;
    entry.models = {model};
    for (std::size_t i = 0; i < teams; ++i) {
        const auto name = "team-" + std::to_string(i);
        auto &team = catalogue.teams[TeamId(name)];
        team.header.name = name;
        team.header.limits = {.concurrency = 1000, .requestsPerSecond = 100'000, .tokensPerSecond = 100'000'000};
        team.floors[dataCentre] = 1000;
        team.models = {model};
    }
    return catalogue;
}

AttemptId attemptOf(std::size_t index)
{
    return {.entry = Incarnation(1), .sequence = index};
}

TeamId teamOf(std::size_t team)
{
    return TeamId("team-" + std::to_string(team));
}

/** Our admission. */
class Admission final : public Policy
{
public:
    explicit Admission(std::size_t teams)
    {
        controller_.applyCatalogue(CatalogueVersion(1), makeCatalogue(teams), CatalogueVersion(1), start - 2s);
        controller_.engineReported({.engine = Incarnation(1)}, start);
    }

    void submit(std::size_t index, const Input &input, TimePoint now) override
    {
        const auto decision = controller_.submit({.attempt = attemptOf(index),
                                                  .team = teamOf(input.team),
                                                  .requestClass = requestClass,
                                                  .remainingDeadline = 60s,
                                                  .tokens = static_cast<std::uint32_t>(input.answerTokens)},
                                                 now);
        if (std::holds_alternative<AdmissionController::Admitted>(decision)) {
            starts_.push_back(index);
        } else if (std::holds_alternative<Refusal>(decision)) {
            refused_.push_back(index);
        }
    }

    void firstToken(std::size_t index, TimePoint now) override
    {
        controller_.firstToken(attemptOf(index), now);
    }

    void token(std::size_t index, TimePoint now) override
    {
        controller_.tokens(attemptOf(index), 1, now);
    }

    void finished(std::size_t index, TimePoint now) override
    {
        controller_.finished(attemptOf(index), Outcome::Succeeded, now);
    }

    std::vector<std::size_t> takeStarts(TimePoint now) override
    {
        const auto actions = controller_.takeActions(now);
        for (const auto &attempt : actions.start) {
            starts_.push_back(attempt.sequence);
        }
        for (const auto &[attempt, refusal] : actions.refuse) {
            refused_.push_back(attempt.sequence);
        }
        return std::exchange(starts_, {});
    }

private:
    AdmissionController controller_{server, Incarnation(1), {}, start - 2s};
    std::vector<std::size_t> starts_;
};

struct Result
{
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::vector<double> onTimeOfTeam = std::vector<double>(largeTeams + smallTeams, 0);
    std::vector<double> sentByTeam = std::vector<double>(largeTeams + smallTeams, 0);

    void add(const Input &input, bool isOnTime)
    {
        ++(isOnTime ? onTime : late);
        onTimeOfTeam[input.team] += isOnTime ? 1 : 0;
    }
};

bool isCounted(const Input &input)
{
    return input.arrival >= start + warmUp;
}

bool isOnTime(const Input &input, const Progress &progress, TimePoint firstToken)
{
    auto intervals = progress.intervals;
    std::sort(intervals.begin(), intervals.end());
    const auto index = static_cast<std::size_t>(0.95 * static_cast<double>(intervals.size()));
    return firstToken - input.arrival <= firstTokenTarget && (intervals.empty() || intervals[index] <= intervalTarget);
}

Result simulate(const std::vector<Input> &input, Policy &policy)
{
    Result result;
    SimulatedEngine engine;
    std::vector<TimePoint> firstTokens(input.size());
    std::size_t next = 0;
    // A request that has not ended by then counts as late.
    const auto end = start + length + 60s;
    const auto carryOut = [&](TimePoint now) {
        for (const auto index : policy.takeStarts(now)) {
            engine.add(index, input[index].promptTokens);
        }
        for (const auto index : policy.takeRefused()) {
            result.refused += isCounted(input[index]) ? 1 : 0;
        }
    };
    for (auto now = start; now < end;) {
        now += engine.beginStep();
        // The agent decides at the arrival; the engine takes the request up with its next step.
        for (; next < input.size() && input[next].arrival <= now; ++next) {
            policy.submit(next, input[next], input[next].arrival);
            carryOut(input[next].arrival);
            result.sentByTeam[input[next].team] += isCounted(input[next]) ? 1 : 0;
        }
        std::erase_if(engine.running(), [&](Progress &progress) {
            if (progress.promptLeft > 0) {
                return false;
            }
            if (++progress.tokens == 1) {
                firstTokens[progress.input] = now;
                policy.firstToken(progress.input, now);
            } else {
                progress.intervals.push_back(now - progress.lastToken);
                policy.token(progress.input, now);
            }
            progress.lastToken = now;
            const auto &request = input[progress.input];
            if (progress.tokens < request.answerTokens) {
                return false;
            }
            policy.finished(progress.input, now);
            if (isCounted(request)) {
                result.add(request, isOnTime(request, progress, firstTokens[progress.input]));
            }
            return true;
        });
        carryOut(now);
    }
    std::size_t counted = 0;
    for (const auto &request : input) {
        counted += isCounted(request) ? 1 : 0;
    }
    result.late = counted - result.onTime - result.refused;
    return result;
}

/** Jain's index of the requests on time against the fair share: 1 is equal, 1/n is one team alone. */
double fairness(const Result &result)
{
    double served = 0;
    for (std::size_t i = 0; i < result.sentByTeam.size(); ++i) {
        served += result.onTimeOfTeam[i];
    }
    // Max-min shares of what was served: small teams get all they ask for, the rest is divided equally.
    std::vector<double> demands = result.sentByTeam;
    std::sort(demands.begin(), demands.end());
    double share = 0;
    double left = served;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        share = left / static_cast<double>(demands.size() - i);
        if (demands[i] > share) {
            break;
        }
        left -= demands[i];
    }
    double sum = 0;
    double squares = 0;
    double teams = 0;
    for (std::size_t i = 0; i < result.sentByTeam.size(); ++i) {
        const double fair = std::min(result.sentByTeam[i], share);
        if (fair > 0) {
            const double ratio = result.onTimeOfTeam[i] / fair;
            sum += ratio;
            squares += ratio * ratio;
            teams += 1;
        }
    }
    return squares > 0 ? sum * sum / (teams * squares) : 0;
}

std::unique_ptr<Policy> makePolicy(const std::string &name)
{
    if (name == "no_limit") {
        return std::make_unique<FixedLimit>(SIZE_MAX);
    }
    if (name == "fixed_limit_fifo") {
        return std::make_unique<FixedLimit>(tunedLimit);
    }
    return std::make_unique<Admission>(largeTeams + smallTeams);
}

Measurement costs(std::uint64_t seed)
{
    constexpr std::size_t teams = 9700;
    constexpr std::size_t decisions = 200'000;
    auto controller =
        std::make_unique<AdmissionController>(server, Incarnation(1), AdmissionController::Options{}, start - 2s);
    const auto catalogue = makeCatalogue(teams);
    const auto before = mallinfo2().uordblks;
    const auto applyStart = Clock::now();
    controller->applyCatalogue(CatalogueVersion(1), catalogue, CatalogueVersion(1), start - 2s);
    const std::chrono::duration<double, std::milli> applyTime = Clock::now() - applyStart;
    const auto bytes = static_cast<double>(mallinfo2().uordblks - before);
    controller->engineReported({.engine = Incarnation(1)}, start);
    controller->loadReport(start);
    RandomSource random(seed);
    std::vector<TeamId> names;
    for (std::size_t i = 0; i < teams; ++i) {
        names.push_back(teamOf(i));
    }
    const auto decisionStart = Clock::now();
    for (std::size_t i = 0; i < decisions; ++i) {
        const auto now = start + i * 1ms;
        controller->submit({.attempt = attemptOf(i),
                            .team = names[random.below(teams)],
                            .requestClass = requestClass,
                            .remainingDeadline = 60s,
                            .tokens = 100},
                           now);
        controller->takeActions(now);
        controller->finished(attemptOf(i), Outcome::Failed, now);
    }
    const std::chrono::duration<double, std::micro> time = Clock::now() - decisionStart;
    return {.measure = "admission_cost",
            .policy = "admission",
            .seed = seed,
            .figures = {{"bytes_per_team_at_9700_teams", bytes / teams},
                        {"catalogue_apply_ms", applyTime.count()},
                        {"decision_us", time.count() / decisions}},
            .isCost = true};
}

} // namespace

Measurements measureOverload(const Options &options)
{
    Measurements measurements;
    for (const auto seed : options.seeds) {
        for (const double load : {1.0, 1.5, 2.0}) {
            const auto input = makeInput(load * capacity, seed);
            for (const std::string name : {"admission", "no_limit", "fixed_limit_fifo"}) {
                const auto policy = makePolicy(name);
                const auto result = simulate(input, *policy);
                const auto accepted = static_cast<double>(result.onTime + result.late);
                const auto all = accepted + static_cast<double>(result.refused);
                char measure[32];
                std::snprintf(measure, sizeof(measure), "overload_%.1fx", load);
                measurements.push_back(
                    {.measure = measure,
                     .policy = name,
                     .seed = seed,
                     .figures = {
                         {"on_time_share", static_cast<double>(result.onTime) / all},
                         {"late_share", static_cast<double>(result.late) / all},
                         {"refused_share", static_cast<double>(result.refused) / all},
                         {"accepted_but_late_share", accepted > 0 ? static_cast<double>(result.late) / accepted : 0},
                         {"on_time_per_second",
                          static_cast<double>(result.onTime) / std::chrono::duration<double>(length - warmUp).count()},
                         {"jain_fairness", fairness(result)}}});
            }
        }
        measurements.push_back(costs(seed));
    }
    return measurements;
}

} // namespace hornbeamlane::measure
