#include "measure/MeasureGroups.h"

#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace hornbeamlane::measure {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr TimePoint start{Duration(1h)};
constexpr double stepSeconds = 0.020;
/** Part of a balanced step that grows with the load of the slowest rank. */
constexpr double expertTimeShare = 0.5;
constexpr double loadSlowdown = 0.02;
constexpr double switchPauseSeconds = 0.003;
constexpr double storeBytesPerSecond = 2e9;
constexpr std::size_t bytesPerCopy = 44'000'000;

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

double gaussian(RandomSource &random)
{
    // Twelve uniform numbers: the same on every platform, and close enough for noise.
    double sum = -6.0;
    for (int i = 0; i < 12; ++i) {
        sum += random.unit();
    }
    return sum;
}

struct GroupSize
{
    std::string name;
    RankIndex ranks;
    std::uint32_t layers;
    ExpertIndex experts;
};

/** Expert popularity whose logarithms drift as mean-reverting random walks, with a sudden change of topic at times. */
class PopularityGenerator final
{
public:
    PopularityGenerator(const GroupSize &size, std::uint64_t seed)
        : random_(seed)
        , logs_(size.layers, std::vector<double>(size.experts))
    {
        for (auto &layer : logs_) {
            std::generate(layer.begin(), layer.end(), [this] { return gaussian(random_) * spread; });
        }
    }

    /** Advances by one second. */
    void drift()
    {
        constexpr double reversion = 1.0 / 600.0;
        const double noise = spread * std::sqrt(2.0 * reversion);
        const bool isNewTopic = random_.unit() < 1.0 / 300.0;
        for (auto &layer : logs_) {
            for (auto &value : layer) {
                value += -reversion * value + noise * gaussian(random_);
                if (isNewTopic && random_.unit() < 0.1) {
                    value = gaussian(random_) * spread;
                }
            }
        }
    }

    ExpertShares shares() const
    {
        ExpertShares shares = logs_;
        for (auto &layer : shares) {
            std::transform(layer.begin(), layer.end(), layer.begin(), [](double value) { return std::exp(value); });
            const double sum = std::accumulate(layer.begin(), layer.end(), 0.0);
            std::transform(layer.begin(), layer.end(), layer.begin(), [sum](double value) { return value / sum; });
        }
        return shares;
    }

private:
    static constexpr double spread = 0.6;
    RandomSource random_;
    std::vector<std::vector<double>> logs_;
};

enum class Policy { FixedMap, EveryInterval, CostAware };

/** Time of each rank for one step: attention, its experts in all layers, and noise. */
std::vector<double> rankTimes(const ExpertMap &map, const ExpertShares &shares, RandomSource &random)
{
    std::vector<double> times(map.ranks(), 0.0);
    for (std::uint32_t layer = 0; layer < map.layers(); ++layer) {
        const auto loads = ExpertPlacement::rankLoads(map, layer, shares[layer]);
        for (RankIndex rank = 0; rank < map.ranks(); ++rank) {
            times[rank] += loads[rank] * map.ranks() / map.layers();
        }
    }
    for (auto &time : times) {
        time = stepSeconds * (1.0 - expertTimeShare + expertTimeShare * time) * (1.0 + 0.01 * gaussian(random));
    }
    return times;
}

Measurement measurePlacement(const GroupSize &size, Policy policy, std::uint64_t seed)
{
    constexpr int seconds = 1200;
    constexpr int interval = 10;
    PopularityGenerator generator(size, seed);
    RandomSource noise(seed + 1000);
    ExpertPopularity popularity({.layers = size.layers, .expertsPerLayer = size.experts});
    const auto slots = static_cast<std::uint32_t>((size.experts + size.ranks - 1) / size.ranks + 1);
    const ExpertPlacement placement({.slotsPerRank = slots, .movesPerRound = 256});
    RebalancePolicy::Options options{.bytesPerCopy = bytesPerCopy, .storeBytesPerSecond = storeBytesPerSecond};
    if (policy == Policy::EveryInterval) {
        options.decide = [](const RebalanceEstimate &, Duration) { return true; };
    }
    RebalancePolicy rebalance(std::move(options));
    auto map = ExpertMap::uniform(ExpertMapVersion(1), size.ranks, size.layers, size.experts);
    std::optional<ExpertMap> loading;
    double loadedAt = 0.0;
    std::vector<double> skews;
    std::vector<double> stepTimes;
    double copies = 0.0;
    double pauses = 0.0;
    double lostSeconds = 0.0;
    for (int second = 0; second < seconds; ++second) {
        const auto now = start + std::chrono::seconds(second);
        generator.drift();
        const auto shares = generator.shares();
        for (std::uint32_t layer = 0; layer < size.layers; ++layer) {
            std::vector<double> tokens(size.experts);
            for (ExpertIndex expert = 0; expert < size.experts; ++expert) {
                const double mean = shares[layer][expert] * 20000.0;
                tokens[expert] = std::max(0.0, mean + std::sqrt(mean) * gaussian(noise));
            }
            popularity.add(layer, tokens, now);
        }
        if (loading && second >= loadedAt) {
            map = *std::exchange(loading, std::nullopt);
            pauses += switchPauseSeconds;
        }
        lostSeconds += loading ? loadSlowdown : 0.0;
        if (policy != Policy::FixedMap && !loading && second % interval == 0 && second > 0) {
            ExpertShares estimate;
            for (std::uint32_t layer = 0; layer < size.layers; ++layer) {
                estimate.push_back(popularity.shares(layer));
            }
            auto candidate = placement.improve(map, estimate);
            if (rebalance.shouldChange(map, candidate, estimate, now)) {
                rebalance.noteChange(now);
                const auto missing = static_cast<double>(candidate.copiesMissingIn(map));
                copies += missing;
                loadedAt = second + missing * static_cast<double>(bytesPerCopy) / storeBytesPerSecond;
                loading = std::move(candidate);
            }
        }
        const auto times = rankTimes(map, shares, noise);
        const double slowest = *std::max_element(times.begin(), times.end());
        const double median = percentile(times, 0.5);
        skews.push_back((slowest - median) / median);
        // The exchange after each layer waits for the slowest rank of that layer.
        stepTimes.push_back(stepSeconds
                            * (1.0 - expertTimeShare + expertTimeShare * ExpertPlacement::imbalance(map, shares)));
    }
    const double meanStep = std::accumulate(stepTimes.begin(), stepTimes.end(), 0.0) / seconds;
    static const char *const names[] = {"fixed_map", "rebalance_every_interval", "cost_aware"};
    return {.measure = "expert_placement_" + size.name,
            .policy = names[static_cast<int>(policy)],
            .seed = seed,
            .figures = {{"skew_p50_ratio", percentile(skews, 0.5)},
                        {"skew_p99_ratio", percentile(skews, 0.99)},
                        {"mean_step_ms", meanStep * 1e3},
                        {"moved_gb", copies * static_cast<double>(bytesPerCopy) / 1e9},
                        {"pauses_ms", pauses * 1e3},
                        {"steps_lost", (pauses + lostSeconds) / meanStep},
                        {"steps_done", (seconds - pauses - lostSeconds) / meanStep}}};
}

/** Extra time of a group in milliseconds for one switch, over real controllers and gates with lossy messages. */
class SwitchRun final
{
public:
    SwitchRun(RankIndex ranks, double roundTripMs, double loss, std::uint64_t seed)
        : random_(seed)
        , oneWay_(std::chrono::duration_cast<Duration>(Seconds(roundTripMs / 2e3)))
        , loss_(loss)
        , controller_({.group = group_,
                       .ranks = ranks,
                       .token = FencingToken(1),
                       .resendInterval = 4 * oneWay_ + 2ms,
                       .armLead = 6 * oneWay_ + 10ms,
                       .stepTime = step})
    {
        for (std::uint64_t version = 1; version <= 2; ++version) {
            controller_.addMap(ExpertMap::uniform(ExpertMapVersion(version), ranks, 1, 8));
        }
        for (RankIndex rank = 0; rank < ranks; ++rank) {
            gates_.emplace_back(RankGate::Options{.group = group_, .rank = rank, .engine = Incarnation(rank + 1)});
        }
        enteredAt_ = start;
    }

    /** Gives the pause of the steps and the time from the start of the switch until all ranks use the new map. */
    std::pair<double, double> run()
    {
        runUntilIdle(ExpertMapVersion(1));
        const auto begin = now_;
        pause_ = Duration::zero();
        runUntilIdle(ExpertMapVersion(2));
        return {std::chrono::duration<double, std::milli>(pause_).count(),
                std::chrono::duration<double, std::milli>(now_ - begin).count()};
    }

private:
    static constexpr Duration step = 20ms;

    template <class T>
    struct InFlight
    {
        TimePoint dueAt;
        T message;
    };

    void runUntilIdle(ExpertMapVersion wanted)
    {
        const auto isDone = [this, wanted] {
            return std::all_of(gates_.begin(), gates_.end(), [wanted](const RankGate &gate) {
                return gate.status().activeMap == wanted && !gate.status().isJoining;
            });
        };
        const auto limit = now_ + 60s;
        while (now_ < limit && !(isDone() && controller_.phase() == MapSwitchController::Phase::Idle)) {
            now_ += 250us;
            controller_.switchTo(wanted, now_);
            for (auto &order : controller_.poll(now_)) {
                if (random_.unit() >= loss_) {
                    orders_.push_back({now_ + oneWay_, std::move(order)});
                }
            }
            deliver();
            advanceStep();
        }
    }

    void deliver()
    {
        std::erase_if(orders_, [this](const InFlight<MapOrder> &order) {
            if (order.dueAt > now_) {
                return false;
            }
            auto &gate = gates_[order.message.rank];
            auto status = gate.handle(order.message);
            if (gate.loading()) {
                gate.finishLoading();
                status = gate.status();
            }
            if (random_.unit() >= loss_) {
                statuses_.push_back({now_ + oneWay_, status});
            }
            return true;
        });
        std::erase_if(statuses_, [this](const InFlight<MapStatus> &status) {
            if (status.dueAt > now_) {
                return false;
            }
            controller_.handle(status.message, now_);
            return true;
        });
    }

    /** All ranks enter a step together; time beyond the step's own is a pause. */
    void advanceStep()
    {
        if (now_ < enteredAt_ + step) {
            return;
        }
        const auto least = std::min_element(gates_.begin(), gates_.end(),
                                            [](const RankGate &a, const RankGate &b) {
                                                return a.status().currentStep < b.status().currentStep;
                                            })
                               ->status()
                               .currentStep;
        bool isComplete = true;
        for (auto &gate : gates_) {
            if (gate.status().currentStep == least) {
                isComplete = gate.enterNextStep().has_value() && isComplete;
            }
        }
        if (isComplete) {
            pause_ += now_ - enteredAt_ - step;
            enteredAt_ = now_;
        }
    }

    const GroupId group_{"g"};
    RandomSource random_;
    Duration oneWay_;
    double loss_;
    MapSwitchController controller_;
    std::vector<RankGate> gates_;
    std::vector<InFlight<MapOrder>> orders_;
    std::vector<InFlight<MapStatus>> statuses_;
    TimePoint now_ = start;
    TimePoint enteredAt_;
    Duration pause_{0};
};

/** Pause of stop-at-boundary: stop and resume need one answered round each from all ranks, with the same resends. */
double stopAtBoundaryPauseMs(RankIndex ranks, double roundTripMs, double loss, RandomSource &random)
{
    const double resendMs = 2.0 * roundTripMs + 2.0;
    double stopAnswered = 0.0;
    double resumed = 0.0;
    for (RankIndex rank = 0; rank < ranks; ++rank) {
        const auto tries = [&random](double failure) {
            int count = 0;
            while (random.unit() < failure) {
                ++count;
            }
            return count;
        };
        stopAnswered = std::max(stopAnswered, tries(1.0 - (1.0 - loss) * (1.0 - loss)) * resendMs + roundTripMs);
        resumed = std::max(resumed, tries(loss) * resendMs + roundTripMs / 2.0);
    }
    return stopAnswered + resumed - roundTripMs / 2.0;
}

void measureSwitches(const Options &options, Measurements &measurements)
{
    constexpr int runs = 10;
    for (const RankIndex ranks : {8U, 128U}) {
        for (const double roundTripMs : {1.0, 4.0, 20.0}) {
            for (const double loss : {0.0, 0.001, 0.01, 0.05}) {
                const auto name = "map_switch_" + std::to_string(ranks) + "_ranks_rtt_"
                    + std::to_string(static_cast<int>(roundTripMs)) + "_ms_loss_"
                    + std::to_string(static_cast<int>(loss * 1000)) + "_permille";
                for (const auto seed : options.seeds) {
                    std::vector<double> pauses;
                    std::vector<double> times;
                    std::vector<double> stops;
                    RandomSource random(seed);
                    for (int run = 0; run < runs; ++run) {
                        const auto [pause, time] = SwitchRun(ranks, roundTripMs, loss, seed * 1000 + run).run();
                        pauses.push_back(pause);
                        times.push_back(time);
                        stops.push_back(stopAtBoundaryPauseMs(ranks, roundTripMs, loss, random));
                    }
                    const auto mean = [](const std::vector<double> &values) {
                        return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
                    };
                    measurements.push_back({.measure = name,
                                            .policy = "arm_then_go",
                                            .seed = seed,
                                            .figures = {{"pause_mean_ms", mean(pauses)},
                                                        {"pause_max_ms", percentile(pauses, 1.0)},
                                                        {"switch_mean_ms", mean(times)}}});
                    measurements.push_back(
                        {.measure = name,
                         .policy = "stop_at_boundary",
                         .seed = seed,
                         .figures = {{"pause_mean_ms", mean(stops)}, {"pause_max_ms", percentile(stops, 1.0)}}});
                }
            }
        }
    }
}

Measurement measureStragglers(bool isBaseline, std::uint64_t seed)
{
    constexpr RankIndex ranks = 128;
    constexpr int rounds = 20;
    constexpr int quietSteps = 3000;
    constexpr int slowSteps = 1000;
    StragglerDetector::Options options{.ranks = ranks};
    if (isBaseline) {
        options.decide = [](double slowness, std::size_t) { return slowness >= 1.25; };
        options.window = 1;
    }
    RandomSource random(seed);
    std::vector<double> delays;
    int falseAlarms = 0;
    int missed = 0;
    for (int round = 0; round < rounds; ++round) {
        StragglerDetector detector(options);
        const auto slowRank = static_cast<RankIndex>(random.below(ranks));
        const int slowFrom = quietSteps + static_cast<int>(random.below(32));
        int stalledSteps = 0;
        RankIndex stalledRank = 0;
        bool wasReported = false;
        int delay = -1;
        for (int step = 0; step < quietSteps + slowSteps && delay < 0; ++step) {
            if (stalledSteps == 0 && random.unit() < 0.005) {
                stalledSteps = 1 + static_cast<int>(random.below(25));
                stalledRank = static_cast<RankIndex>(random.below(ranks));
            }
            std::vector<Duration> times(ranks);
            for (RankIndex rank = 0; rank < ranks; ++rank) {
                double time = stepSeconds * (1.0 + 0.05 * gaussian(random));
                time *= step >= slowFrom && rank == slowRank ? 1.4 : 1.0;
                time *= stalledSteps > 0 && rank == stalledRank ? 5.0 : 1.0;
                times[rank] = std::chrono::duration_cast<Duration>(Seconds(time));
            }
            stalledSteps = std::max(0, stalledSteps - 1);
            detector.addStep(times);
            const auto report = detector.report();
            const bool isReported = report.advice != StragglerAdvice::None;
            if (isReported && step >= slowFrom && detector.slowness()[slowRank] > 1.0) {
                delay = step - slowFrom + 1;
            } else if (isReported && !wasReported) {
                ++falseAlarms;
            }
            wasReported = isReported;
        }
        if (delay < 0) {
            ++missed;
        } else {
            delays.push_back(delay);
        }
    }
    return {.measure = "straggler_detection",
            .policy = isBaseline ? "single_step_threshold" : "window_medians",
            .seed = seed,
            .figures = {{"delay_p50_steps", delays.empty() ? -1.0 : percentile(delays, 0.5)},
                        {"delay_max_steps", delays.empty() ? -1.0 : percentile(delays, 1.0)},
                        {"false_alarms_per_1000_steps", 1000.0 * falseAlarms / (rounds * quietSteps)},
                        {"missed", missed}}};
}

Measurement measurePlacementTime(const GroupSize &size, std::uint64_t seed)
{
    const auto shares = PopularityGenerator(size, seed).shares();
    const auto map = ExpertMap::uniform(ExpertMapVersion(1), size.ranks, size.layers, size.experts);
    const ExpertPlacement placement(
        {.slotsPerRank = static_cast<std::uint32_t>((size.experts + size.ranks - 1) / size.ranks + 1)});
    const auto begin = Clock::now();
    const auto next = placement.improve(map, shares);
    const double milliseconds = std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
    return {
        .measure = "placement_time_" + size.name,
        .policy = "local_search",
        .seed = seed,
        .figures = {{"placement_ms", milliseconds}, {"copies_loaded", static_cast<double>(next.copiesMissingIn(map))}},
        .isCost = true};
}

} // namespace

Measurements measureGroups(const Options &options)
{
    Measurements measurements;
    const GroupSize small{.name = "8_ranks_32_experts", .ranks = 8, .layers = 4, .experts = 32};
    const GroupSize target{.name = "128_ranks_128_experts", .ranks = 128, .layers = 8, .experts = 128};
    for (const auto &size : {small, target}) {
        for (const auto seed : options.seeds) {
            for (const auto policy : {Policy::FixedMap, Policy::EveryInterval, Policy::CostAware}) {
                measurements.push_back(measurePlacement(size, policy, seed));
            }
            measurements.push_back(measurePlacementTime(size, seed));
        }
    }
    measureSwitches(options, measurements);
    for (const auto seed : options.seeds) {
        measurements.push_back(measureStragglers(false, seed));
        measurements.push_back(measureStragglers(true, seed));
    }
    return measurements;
}

} // namespace hornbeamlane::measure
