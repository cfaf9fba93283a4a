#include "platform/NodeSettings.h"
#include "platform/PlatformNode.h"
#include "platform/RankGroupStandIn.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <utility>

namespace hornbeamlane::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** An entry that keeps the maps of a group, beside rows of another writer. */
class MapRanksTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(store_.listen("127.0.0.1:0", "127.0.0.1:0"));
        makeGroup({});
        node_ = std::make_unique<PlatformNode>(loop_, random_, settingsOfEntry(store_));
    }

    void makeGroup(RankGroupStandIn::Options options)
    {
        group_ = std::make_unique<RankGroupStandIn>(loop_, store_, std::move(options));
    }

    void startGroup()
    {
        ASSERT_TRUE(group_->start());
        writeCatalogue({"pool"});
    }

    void writeCatalogue(const std::vector<std::string> &services)
    {
        auto list = Json::array();
        for (const auto &service : services) {
            list.push_back({{"Name", service}, {"MaxConnections", 100}, {"Engine", RankGroupStandIn::engine()}});
        }
        const Json catalogue = {{"Version", ++version_}, {"Routes", Json::array()}, {"Services", list}};
        store_.put("op", "config", catalogue.dump());
    }

    /** A row that states the rank at that address; its id decides before or after which other rows it is read. */
    void writeRow(const std::string &id, std::size_t rank, const std::string &service, const std::string &address)
    {
        store_.put("servers", id, group_->rowOf(rank, service, address).dump());
    }

    void runFor(milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    /** Whether the maps change that often within the time, and no pass begins with two of them. */
    void expectSwitches(std::size_t count)
    {
        const auto enough = group_->switches() + count;
        const auto end = loop_.now() + seconds(20);
        while (group_->switches() < enough && group_->mixedPasses() == 0 && loop_.now() < end) {
            runFor(milliseconds(20));
        }
        EXPECT_GE(group_->switches(), enough);
        EXPECT_EQ(group_->mixedPasses(), 0U);
    }

    static constexpr std::size_t someSwitches = 3;

    EventLoop loop_;
    RandomSource random_{5};
    SoakStore store_{loop_, random_};
    std::unique_ptr<RankGroupStandIn> group_;
    std::unique_ptr<PlatformNode> node_;
    std::uint64_t version_ = 0;
};

// Guards against a pass with two maps: a row of a service that no configuration names states rank 0 of a group, at the
// address of rank 2, so that rank 2 got the orders for rank 0 (review/7).
TEST_F(MapRanksTest, KeepsOneMapBesideARowOfAnUnnamedService)
{
    startGroup();
    ASSERT_TRUE(node_->start());
    expectSwitches(1);
    writeRow("pool-g0-1x", 0, "former-pool", group_->addressOf(2));
    expectSwitches(someSwitches);
}

// The same with a row that is there first, and a configuration that comes later and names its service too.
TEST_F(MapRanksTest, KeepsOneMapWhenTheServiceIsNamedLater)
{
    ASSERT_TRUE(group_->start());
    writeRow("pool-g0-1x", 0, "former-pool", group_->addressOf(2));
    ASSERT_TRUE(node_->start());
    runFor(milliseconds(700));
    writeCatalogue({"pool"});
    expectSwitches(1);
    writeCatalogue({"former-pool", "pool"});
    expectSwitches(someSwitches);
    writeCatalogue({"pool"});
    expectSwitches(someSwitches);
}

// Guards against a pass with two maps where services call their groups by one name.
TEST_F(MapRanksTest, KeepsOneMapInEachOfTwoGroupsWithOneName)
{
    RankGroupStandIn other(loop_, store_, {.service = "second-pool"});
    ASSERT_TRUE(group_->start());
    ASSERT_TRUE(other.start());
    writeCatalogue({"pool", "second-pool"});
    ASSERT_TRUE(node_->start());
    expectSwitches(someSwitches);
    EXPECT_GE(other.switches(), 1U);
    EXPECT_EQ(other.mixedPasses(), 0U);
}

/** The id of another writer's row, which is read before or after the true row. */
class MapRanksRowTest : public MapRanksTest, public ::testing::WithParamInterface<const char *>
{
};

// Guards against a pass with two maps, and against a group whose map no longer changes: a second row of the service
// itself states a rank at the address of another one.
TEST_P(MapRanksRowTest, KeepsOneMapBesideASecondRowForARank)
{
    startGroup();
    writeRow(GetParam(), 0, "pool", group_->addressOf(2));
    ASSERT_TRUE(node_->start());
    expectSwitches(someSwitches);
}

INSTANTIATE_TEST_SUITE_P(BeforeAndAfter, MapRanksRowTest, ::testing::Values("pool-g0-", "pool-g0-1x"));

// The same where the row comes while the maps are kept, and where its address answers nothing or its server is gone.
TEST_F(MapRanksTest, KeepsOneMapWhenASecondRowComesLater)
{
    startGroup();
    ASSERT_TRUE(node_->start());
    expectSwitches(1);
    writeRow("pool-g0-1x", 0, "pool", group_->addressOf(2));
    expectSwitches(someSwitches);
    writeRow("pool-g0-1x", 0, "pool", "127.0.0.1:1");
    expectSwitches(someSwitches);
}

// Guards against a group whose map no longer changes: a row states another server at the address of the rank itself,
// and its engine rejects orders that are not meant for it.
TEST_F(MapRanksTest, GoesOnBesideAnotherServerAtTheAddressOfTheRank)
{
    startGroup();
    writeRow("pool-g0-1x", 0, "pool", group_->addressOf(0));
    ASSERT_TRUE(node_->start());
    expectSwitches(someSwitches);
}

// Guards against engines of other writers that answer as a rank: while two of them do, neither gets orders, and the
// group goes on with the map that it has.
TEST_F(MapRanksTest, LeavesTheMapAloneWhileTwoServersAnswerAsOneRank)
{
    RankGroupStandIn other(loop_, store_, {.checksServer = false});
    ASSERT_TRUE(other.start());
    startGroup();
    writeRow("another", 0, "pool", other.addressOf(0));
    ASSERT_TRUE(node_->start());
    runFor(seconds(4));
    EXPECT_EQ(group_->switches(), 0U);
    EXPECT_EQ(group_->mixedPasses(), 0U);
    store_.drop("servers", "another");
    expectSwitches(1);
}

} // namespace
} // namespace hornbeamlane::platform
