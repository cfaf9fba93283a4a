#include "gateway/GatewayWorld.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

/** Crashes after which a part has to be known everywhere, and the requests that may still reach servers then. */
constexpr int crashesToLearn = 5;
constexpr int requestsAfterwards = 3;

std::string uniquePart(int number)
{
    return "f" + std::to_string(number) + ":100";
}

int servedOf(const std::vector<std::shared_ptr<CallerAnswer>> &answers)
{
    return static_cast<int>(std::count_if(answers.begin(), answers.end(), [](const auto &answer) {
        return answer->end == Http1CallEnd::Complete && answer->head.status == 200;
    }));
}

/** Requests that come to all entries in turn, one with a deadly part and a sound one each time. */
struct Traffic
{
    std::string deadly = "dead:7";
    std::string first = "a:40";
    int rounds = 60;
    std::chrono::milliseconds pause{30};
};

std::vector<std::shared_ptr<CallerAnswer>> run(GatewayWorld &world, std::size_t entries, const Traffic &traffic)
{
    std::vector<std::shared_ptr<CallerAnswer>> sound;
    for (int round = 0; round < traffic.rounds; ++round) {
        const auto entry = static_cast<std::size_t>(round);
        world.send(entry % entries, traffic.first + "," + traffic.deadly + "," + uniquePart(round));
        sound.push_back(world.send((entry + 1) % entries, traffic.first + "," + uniquePart(traffic.rounds + round)));
        world.runFor(traffic.pause);
    }
    world.runFor(std::chrono::milliseconds(700));
    return sound;
}

// Guards against requests of one kind that crash server after server: they come to all entries, no two alike, and share
// one part of their prompts. Sound requests with the same first part are served meanwhile.
TEST(CrashingPartTest, StopsSendingAPartThatCrashesServers)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.deadlyParts = {"dead"};
    world.runFor(std::chrono::milliseconds(100));
    const Traffic traffic;
    const auto sound = run(world, 3, traffic);
    EXPECT_LE(world.deadlyRequests(), crashesToLearn + requestsAfterwards);
    EXPECT_GE(servedOf(sound), traffic.rounds * 9 / 10);
}

// Guards against the same where a server crashes before it has sent anything of its answer, so that every request at it
// may be the cause.
TEST(CrashingPartTest, StopsAPartUnderWhichServersCrashBeforeTheyAnswer)
{
    GatewayWorld world({.entries = 3, .servers = 6, .sendsHeadBeforeCrash = false});
    world.deadlyParts = {"dead"};
    world.runFor(std::chrono::milliseconds(100));
    const Traffic traffic;
    const auto sound = run(world, 3, traffic);
    EXPECT_LE(world.deadlyRequests(), crashesToLearn + requestsAfterwards);
    EXPECT_GE(servedOf(sound), traffic.rounds * 9 / 10);
}

// Guards against two such parts at a time being taken for one, or for the parts that come with them.
TEST(CrashingPartTest, StopsTwoPartsAtATime)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.deadlyParts = {"dead", "fatal"};
    world.runFor(std::chrono::milliseconds(100));
    std::vector<std::shared_ptr<CallerAnswer>> sound;
    constexpr int rounds = 60;
    for (int round = 0; round < rounds; ++round) {
        world.send(round % 3, "a:40,dead:7," + uniquePart(4 * round));
        world.send((round + 1) % 3, "b:40,fatal:9," + uniquePart(4 * round + 1));
        sound.push_back(world.send((round + 2) % 3, "a:40," + uniquePart(4 * round + 2)));
        sound.push_back(world.send(round % 3, "b:40," + uniquePart(4 * round + 3)));
        world.runFor(std::chrono::milliseconds(30));
    }
    world.runFor(std::chrono::milliseconds(700));
    EXPECT_LE(world.deadlyRequests(), 2 * (crashesToLearn + requestsAfterwards));
    EXPECT_GE(servedOf(sound), 2 * rounds * 9 / 10);
}

// Guards against trust in the past: a part that was harmless until now may crash servers from now on.
TEST(CrashingPartTest, StopsAPartThatWasHarmlessBefore)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.runFor(std::chrono::milliseconds(100));
    Traffic traffic{.rounds = 6};
    EXPECT_EQ(servedOf(run(world, 3, traffic)), 6);
    world.deadlyParts = {"dead"};
    traffic.rounds = 60;
    const auto sound = run(world, 3, traffic);
    EXPECT_LE(world.deadlyRequests(), crashesToLearn + requestsAfterwards);
    EXPECT_GE(servedOf(sound), traffic.rounds * 9 / 10);
}

// Guards against evidence that a restart forgets: the restarted entry learns it from the others.
TEST(CrashingPartTest, KeepsAPartInQuarantineWhenEntriesRestart)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.deadlyParts = {"dead"};
    world.runFor(std::chrono::milliseconds(100));
    run(world, 3, {.rounds = 6});
    const int known = world.deadlyRequests();
    for (std::size_t entry = 0; entry < 3; ++entry) {
        world.restartEntry(entry);
        world.runFor(std::chrono::milliseconds(400));
    }
    run(world, 3, {.rounds = 12});
    EXPECT_EQ(world.deadlyRequests(), known);
}

// Guards against evidence that only entries know which hear each other: those that do not learn it from the table, and
// so do entries that were all restarted at once.
TEST(CrashingPartTest, SharesEvidenceThroughTheTable)
{
    GatewayWorld world({.entries = 3, .servers = 6, .hasPeers = false, .hasTable = true});
    world.deadlyParts = {"dead"};
    world.runFor(std::chrono::milliseconds(100));
    run(world, 1, {.rounds = 4});
    world.runFor(std::chrono::milliseconds(1000));
    const int known = world.deadlyRequests();
    EXPECT_LE(known, 1);
    run(world, 3, {.rounds = 6});
    EXPECT_EQ(world.deadlyRequests(), known);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        world.restartEntry(entry);
    }
    run(world, 3, {.rounds = 6});
    EXPECT_EQ(world.deadlyRequests(), known);
}

// Guards against evidence that is lost because the table could not be written when it came up.
TEST(CrashingPartTest, WritesEvidenceOnceTheTableIsBack)
{
    GatewayWorld world({.entries = 2, .servers = 6, .hasPeers = false, .hasTable = true});
    world.deadlyParts = {"dead"};
    world.runFor(std::chrono::milliseconds(100));
    world.setTableReachable(false);
    run(world, 1, {.rounds = 4});
    world.runFor(std::chrono::milliseconds(500));
    world.setTableReachable(true);
    world.runFor(std::chrono::milliseconds(3000));
    const int known = world.deadlyRequests();
    world.send(1, "a:40,dead:7," + uniquePart(1));
    world.runFor(std::chrono::milliseconds(300));
    EXPECT_EQ(world.deadlyRequests(), known);
}

// Guards against sound requests that pay for crashes with another cause: they are served again at once.
TEST(CrashingPartTest, ServesSoundRequestsAfterCrashesWithoutACause)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.silentParts = {"a:40,c:8,x:1"};
    world.runFor(std::chrono::milliseconds(100));
    for (std::size_t server = 0; server < 3; ++server) {
        // Requests without an answer are at the server when it crashes.
        for (std::size_t entry = 0; entry < 3; ++entry) {
            world.send(entry, "a:40,c:8,x:1");
            world.send(entry, "a:40,c:8,x:1");
        }
        world.runFor(std::chrono::milliseconds(20));
        world.crashServer(server);
        world.runFor(std::chrono::milliseconds(30));
    }
    world.silentParts.clear();
    std::vector<std::shared_ptr<CallerAnswer>> sound;
    for (int round = 0; round < 30; ++round) {
        sound.push_back(world.send(round % 3, "a:40,c:8," + uniquePart(round)));
        world.runFor(std::chrono::milliseconds(20));
    }
    world.runFor(std::chrono::milliseconds(700));
    EXPECT_GE(servedOf(sound), 28);
}

// Guards against a suspect that is tried at a silent server: until the deadline of the trial all other requests with
// its parts were refused.
TEST(CrashingPartTest, ServesSoundRequestsBesideATrialThatIsNotAnswered)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.silentParts = {"a:40,c:8,x:1"};
    world.runFor(std::chrono::milliseconds(100));
    for (std::size_t entry = 0; entry < 3; ++entry) {
        for (int i = 0; i < 4; ++i) {
            world.send(entry, "a:40,c:8,x:1");
        }
    }
    world.runFor(std::chrono::milliseconds(20));
    world.crashServer(0);
    // The trial is sent within this time; its server does not answer it.
    world.runFor(std::chrono::milliseconds(150));
    world.silentParts.clear();
    std::vector<std::shared_ptr<CallerAnswer>> sound;
    for (int round = 0; round < 30; ++round) {
        sound.push_back(world.send(round % 3, "a:40,c:8," + uniquePart(round)));
        world.runFor(std::chrono::milliseconds(20));
    }
    world.runFor(std::chrono::milliseconds(700));
    EXPECT_GE(servedOf(sound), 28);
}

// Guards against requests without a prompt that crash server after server: no two of them are alike, and all they share
// is the caller's team and the route. Requests of other teams are served meanwhile.
TEST(CrashingPartTest, StopsLookupsOfOneTeamThatCrashServers)
{
    GatewayWorld world({.entries = 3, .servers = 4, .downTime = std::chrono::milliseconds(400)});
    world.deadlyPath = "/look/dead";
    world.runFor(std::chrono::milliseconds(100));
    std::vector<std::shared_ptr<CallerAnswer>> sound;
    constexpr int rounds = 60;
    for (int round = 0; round < rounds; ++round) {
        const auto number = std::to_string(round);
        const auto entry = static_cast<std::size_t>(round);
        // One in four lookups of the team is sound.
        world.sendLookup(entry % 3, "glue", (round % 4 == 3 ? "/look/sound" : "/look/dead") + number);
        sound.push_back(world.sendLookup((entry + 1) % 3, "zip", "/look/sound" + number));
        world.runFor(std::chrono::milliseconds(50));
    }
    world.runFor(std::chrono::milliseconds(700));
    EXPECT_LE(world.deadlyRequests(), crashesToLearn + requestsAfterwards);
    EXPECT_GE(servedOf(sound), rounds * 9 / 10);
}

// Guards against a team that pays for crashes of servers which its requests happened to be at: it is served at once
// when they are back.
TEST(CrashingPartTest, ServesATeamAfterCrashesWithoutACause)
{
    GatewayWorld world({.entries = 3, .servers = 6});
    world.runFor(std::chrono::milliseconds(100));
    std::vector<std::shared_ptr<CallerAnswer>> sound;
    constexpr int rounds = 90;
    for (int round = 0; round < rounds; ++round) {
        const auto entry = static_cast<std::size_t>(round);
        sound.push_back(world.sendLookup(entry % 3, "glue", "/look/sound" + std::to_string(round)));
        if (round % 5 == 0) {
            world.crashServer(entry / 5 % 6);
        }
        world.runFor(std::chrono::milliseconds(20));
    }
    world.runFor(std::chrono::milliseconds(700));
    EXPECT_GE(servedOf(sound), rounds * 9 / 10);
}

} // namespace
} // namespace hornbeamlane
