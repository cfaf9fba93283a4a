#include "routing/RoutingFixture.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using Verdict = CrashQuarantine::Verdict;

class CrashQuarantineTest : public ::testing::Test
{
protected:
    Verdict mayDispatch(CrashQuarantine &quarantine, const Hash128 &fingerprint, std::uint64_t server)
    {
        return quarantine.mayDispatch(fingerprint, ServerId("s" + std::to_string(server)), Incarnation(server), now_);
    }

    void dispatch(CrashQuarantine &quarantine, const Hash128 &fingerprint, std::uint64_t server)
    {
        quarantine.onDispatched(fingerprint, ServerId("s" + std::to_string(server)), Incarnation(server), now_);
    }

    /** Runs the request on the server, which is lost. */
    void crash(CrashQuarantine &quarantine, const Hash128 &fingerprint, std::uint64_t server)
    {
        dispatch(quarantine, fingerprint, server);
        quarantine.onServerLost(Incarnation(server), now_);
    }

    /** Delivers what is due in both directions until nothing is. */
    void exchange()
    {
        for (int i = 0; i < 4; ++i) {
            if (const auto update = first_.updateFor(Incarnation(2), now_)) {
                second_.merge(*update, Incarnation(1), now_);
            }
            if (const auto update = second_.updateFor(Incarnation(1), now_)) {
                first_.merge(*update, Incarnation(2), now_);
            }
        }
    }

    TimePoint now_{std::chrono::hours(1)};
    CrashQuarantine first_{Incarnation(1)};
    CrashQuarantine second_{Incarnation(2)};
    const Hash128 crasher_{1, 1};
    const Hash128 neighbour_{2, 2};
};

// Guards against a third lost server and against a refusal that claims that nothing ran.
TEST_F(CrashQuarantineTest, RefusesAfterTwoLostServers)
{
    EXPECT_EQ(mayDispatch(first_, crasher_, 10), Verdict::Allowed);
    crash(first_, crasher_, 10);
    EXPECT_EQ(mayDispatch(first_, crasher_, 10), Verdict::UseAnotherServer);
    EXPECT_EQ(mayDispatch(first_, crasher_, 11), Verdict::Allowed);
    crash(first_, crasher_, 11);
    EXPECT_EQ(mayDispatch(first_, crasher_, 12), Verdict::Quarantined);
    EXPECT_EQ(first_.refusal(crasher_, now_).execution, ExecutionState::Unknown);
    EXPECT_EQ(first_.refusal(crasher_, now_).reason, RefusalReason::Quarantined);
    now_ += std::chrono::minutes(10);
    EXPECT_EQ(mayDispatch(first_, crasher_, 12), Verdict::Allowed) << "the record does not expire";
}

// Guards against losses of an engine that pass for a single one because the agent beside it lives on: each entry would
// send the request there once more.
TEST_F(CrashQuarantineTest, CountsEachLossOfAnEngineBesideItsAgent)
{
    first_.setPeers({Incarnation(2)});
    second_.setPeers({Incarnation(1)});
    dispatch(first_, crasher_, 10);
    first_.onEngineLost(Incarnation(10), 1, now_);
    exchange();
    dispatch(second_, crasher_, 10);
    second_.onEngineLost(Incarnation(10), 2, now_);
    exchange();
    EXPECT_TRUE(first_.isQuarantined(crasher_, now_));
    EXPECT_TRUE(second_.isQuarantined(crasher_, now_));
    // Both entries tell of the same loss.
    dispatch(first_, neighbour_, 11);
    dispatch(second_, neighbour_, 11);
    first_.onEngineLost(Incarnation(11), 1, now_);
    second_.onEngineLost(Incarnation(11), 1, now_);
    exchange();
    EXPECT_FALSE(first_.isQuarantined(neighbour_, now_));
}

// Guards against neighbours that share a server as suspects and are blamed for the next crash, and against suspicion
// that stays after a normal end.
TEST_F(CrashQuarantineTest, IsolatesSuspectsAndClearsThem)
{
    dispatch(first_, neighbour_, 10);
    crash(first_, crasher_, 10);
    EXPECT_EQ(mayDispatch(first_, crasher_, 11), Verdict::Allowed);
    dispatch(first_, crasher_, 11);
    EXPECT_EQ(mayDispatch(first_, neighbour_, 11), Verdict::UseAnotherServer);
    EXPECT_EQ(mayDispatch(first_, neighbour_, 12), Verdict::Allowed);
    dispatch(first_, neighbour_, 12);
    first_.onServerLost(Incarnation(11), now_);
    EXPECT_TRUE(first_.isQuarantined(crasher_, now_));
    first_.onFinished(neighbour_, Incarnation(12), true, now_);
    crash(first_, neighbour_, 13);
    EXPECT_FALSE(first_.isQuarantined(neighbour_, now_)) << "cleared evidence was counted again";
}

// Guards against two entries that run one suspect at the same time, and against a cleared neighbour that stays
// suspect elsewhere.
TEST_F(CrashQuarantineTest, RunsASuspectOnOneEntryAtATime)
{
    first_.setPeers({Incarnation(2)});
    second_.setPeers({Incarnation(1)});
    dispatch(second_, crasher_, 10);
    crash(first_, crasher_, 10);
    second_.onServerLost(Incarnation(10), now_);
    EXPECT_EQ(mayDispatch(first_, crasher_, 11), Verdict::Wait) << "the peer has not confirmed";
    exchange();
    EXPECT_EQ(mayDispatch(first_, crasher_, 11), Verdict::Allowed);
    EXPECT_EQ(mayDispatch(second_, crasher_, 12), Verdict::Wait) << "the other entry has it";
    dispatch(first_, crasher_, 11);
    first_.onFinished(crasher_, Incarnation(11), true, now_);
    exchange();
    EXPECT_EQ(mayDispatch(second_, crasher_, 12), Verdict::Allowed);
}

// Guards against a neighbour that is held up for good by a frozen peer or a dead owner.
TEST_F(CrashQuarantineTest, BoundsEveryWait)
{
    first_.setPeers({Incarnation(2)});
    second_.setPeers({Incarnation(1)});
    crash(first_, neighbour_, 10);
    if (const auto update = first_.updateFor(Incarnation(2), now_)) {
        second_.merge(*update, Incarnation(1), now_);
    }
    EXPECT_EQ(mayDispatch(first_, neighbour_, 11), Verdict::Wait);
    now_ += std::chrono::seconds(1);
    EXPECT_EQ(mayDispatch(first_, neighbour_, 11), Verdict::Allowed);
    EXPECT_EQ(mayDispatch(second_, neighbour_, 12), Verdict::Wait);
    now_ += std::chrono::seconds(3);
    EXPECT_EQ(mayDispatch(second_, neighbour_, 12), Verdict::Wait) << "the new claim needs confirmation";
    exchange();
    EXPECT_EQ(mayDispatch(second_, neighbour_, 12), Verdict::Allowed);
}

// Guards against records and messages without bound, and against suspects that displace a quarantined request.
TEST_F(CrashQuarantineTest, KeepsRecordsBounded)
{
    CrashQuarantine quarantine(Incarnation(1), {.maxRecords = 8});
    crash(quarantine, crasher_, 1);
    crash(quarantine, crasher_, 2);
    for (std::uint64_t i = 3; i < 100; ++i) {
        crash(quarantine, Hash128{i, i}, i);
    }
    EXPECT_EQ(quarantine.recordCount(), 8U);
    EXPECT_TRUE(quarantine.isQuarantined(crasher_, now_));
    QuarantineRecord record{.fingerprint = {7, 7}, .expiresIn = std::chrono::hours(1000)};
    for (std::uint64_t i = 0; i < 1000; ++i) {
        record.lostServers.push_back(Incarnation(i));
    }
    quarantine.merge({.records = {record}}, Incarnation(2), now_);
    EXPECT_EQ(quarantine.recordCount(), 8U);
    now_ += std::chrono::minutes(10);
    EXPECT_FALSE(quarantine.isQuarantined(record.fingerprint, now_)) << "a peer extended the expiry";
}

// Guards against one team's quarantine that refuses the same text of another, and against names that run together.
TEST_F(CrashQuarantineTest, SeparatesTeamsInFingerprints)
{
    EXPECT_NE(first_.fingerprint(TeamId("a"), "m", "x"), first_.fingerprint(TeamId("b"), "m", "x"));
    EXPECT_NE(first_.fingerprint(TeamId("a"), "bm", "x"), first_.fingerprint(TeamId("ab"), "m", "x"));
    EXPECT_EQ(first_.fingerprint(TeamId("a"), "m", "x"), second_.fingerprint(TeamId("a"), "m", "x"));
}

} // namespace
} // namespace hornbeamlane
