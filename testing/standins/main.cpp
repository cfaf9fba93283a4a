#include "standins/EngineStandIn.h"
#include "standins/PlatformStandIn.h"
#include "standins/ServiceStandIn.h"
#include "standins/StandInSupport.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(kind, "", "What to stand in for: platform, engine or service");
DEFINE_string(address, "127.0.0.1", "Address to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 takes a free one");
DEFINE_uint64(capacity, 8, "Engine: requests in one batch");
DEFINE_uint64(cold_capacity, 2, "Engine: most requests at once while it is cold");
DEFINE_uint64(cold_steps, 100, "Engine: steps until it is warm");
DEFINE_uint64(step_microseconds, 5000, "Engine: time of one step");
DEFINE_bool(fencing, true, "Engine: refuse orders with an old fencing token");

namespace {

using namespace hornbeamlane;

template <class StandIn>
int runStandIn(EventLoop &loop, StandIn &standIn)
{
    if (!standIn.listen(FLAGS_address, static_cast<std::uint16_t>(FLAGS_port))) {
        std::fprintf(stderr, "cannot listen on %s:%u\n", FLAGS_address.c_str(), FLAGS_port);
        return EXIT_FAILURE;
    }
    std::printf("listening on %s:%u\n", FLAGS_address.c_str(), standIn.port());
    std::fflush(stdout);
    testing::runUntilSignal(loop);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Stand-in for the platform, a model engine or an order service.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    EventLoop loop;
    auto random = RandomSource::fromEntropy();
    if (FLAGS_kind == "platform") {
        testing::PlatformStandIn standIn(loop, random);
        return runStandIn(loop, standIn);
    }
    if (FLAGS_kind == "engine") {
        testing::EngineStandIn standIn(loop, random,
                                       {.capacity = FLAGS_capacity,
                                        .coldCapacity = FLAGS_cold_capacity,
                                        .coldSteps = FLAGS_cold_steps,
                                        .stepTime = std::chrono::microseconds(FLAGS_step_microseconds),
                                        .isFencingEnforced = FLAGS_fencing});
        return runStandIn(loop, standIn);
    }
    if (FLAGS_kind == "service") {
        testing::ServiceStandIn standIn(loop);
        return runStandIn(loop, standIn);
    }
    std::fprintf(stderr, "--kind must be platform, engine or service\n");
    return 2;
}
