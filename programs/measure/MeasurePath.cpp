#include "measure/MeasurePath.h"

#include "path/LocalPath.h"

#include <ctime>

namespace hornbeamlane::measure {

namespace {

using namespace std::chrono_literals;
using testing::LocalPath;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr int requestsPerPoint = 60;
constexpr std::uint64_t fewTokens = 1;
constexpr std::uint64_t manyTokens = 101;

struct Cost
{
    Microseconds elapsed{0};
    Microseconds processor{0};
};

Microseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return Microseconds(static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3);
}

/** Mean cost of one streamed request with so many tokens at the address. */
Cost costOf(LocalPath &path, const std::string &address, std::uint64_t tokens)
{
    Cost cost;
    for (int i = 0; i < requestsPerPoint; ++i) {
        const auto start = Clock::now();
        const auto startProcessor = processorTime();
        path.callAt(address, "POST", "/v1/chat/completions", LocalPath::teamHeaders(),
                    LocalPath::chatBody(tokens, true));
        cost.elapsed += Clock::now() - start;
        cost.processor += processorTime() - startProcessor;
    }
    return {.elapsed = cost.elapsed / requestsPerPoint, .processor = cost.processor / requestsPerPoint};
}

Measurement measureAt(LocalPath &path, const std::string &policy, const std::string &address, std::uint64_t seed)
{
    const auto few = costOf(path, address, fewTokens);
    const auto many = costOf(path, address, manyTokens);
    const double extraTokens = manyTokens - fewTokens;
    return {.measure = "path_cost",
            .policy = policy,
            .seed = seed,
            .figures = {{"request_elapsed_us", few.elapsed.count()},
                        {"request_processor_us", few.processor.count()},
                        {"token_elapsed_us", (many.elapsed - few.elapsed).count() / extraTokens},
                        {"token_processor_us", (many.processor - few.processor).count() / extraTokens}},
            .isCost = true};
}

} // namespace

Measurements measurePath(const Options &options)
{
    Measurements measurements;
    for (const auto seed : options.seeds) {
        LocalPath path({.engine = {.coldSteps = 0, .stepTime = 500us}});
        if (!path.runUntilReady()) {
            continue;
        }
        measurements.push_back(measureAt(path, "direct", path.engineAddress(), seed));
        measurements.push_back(measureAt(path, "entry_and_agent", path.entryAddress(), seed));
    }
    return measurements;
}

} // namespace hornbeamlane::measure
