#include "routing/RoutingFixture.h"

#include <gtest/gtest.h>

#include <set>

namespace hornbeamlane {
namespace {

class ServerChooserTest : public ::testing::Test
{
protected:
    ServerChooserTest()
    {
        view_.applyCatalogue(catalogue_);
        connectAll(view_, catalogue_, 10, now_);
    }

    std::optional<ServerId> choose(ServerChooser &chooser, const RoutingRequest &request)
    {
        const auto index = chooser.choose(request, now_, random_);
        return index ? std::optional(view_.server(*index).id) : std::nullopt;
    }

    /** Servers that 200 choices return. */
    std::set<std::string> chosen(ServerChooser &chooser, const RoutingRequest &request)
    {
        std::set<std::string> names;
        for (int i = 0; i < 200; ++i) {
            const auto server = choose(chooser, request);
            names.insert(server ? server->name() : "none");
        }
        return names;
    }

    void report(const std::string &server, const LoadReport &report)
    {
        view_.onReport(ServerId(server), incarnationOf(ServerId(server)), report, now_);
    }

    const Catalogue catalogue_ = routingCatalogue(3, 4);
    TimePoint now_{std::chrono::hours(1)};
    ServerView view_;
    PrefixCacheView cache_;
    RandomSource random_{7};
    RoutingRequest request_{.team = TeamId("t"), .target = "m"};
};

// Guards against new work on a server that is drained, leaving, cut off or full, whatever policy chooses.
TEST_F(ServerChooserTest, SkipsServersThatMayNotTakeWork)
{
    view_.applyDrains({DrainRecord{.id = DrainId("1"), .scope = DrainScope::Host, .name = "h0"}});
    report("s1", LoadReport{.limit = 10, .warmFraction = 1, .leaving = true});
    report("s2", LoadReport{.inFlight = 10, .limit = 10, .queued = 5, .warmFraction = 1});
    view_.onLinkDown(ServerId("s4"), incarnationOf(ServerId("s4")));
    view_.applyDrains({DrainRecord{.id = DrainId("1"), .scope = DrainScope::Host, .name = "h0"},
                       DrainRecord{.id = DrainId("2"), .scope = DrainScope::DataCentre, .name = "dc2"}});
    for (const auto &policy : {ServerChooser::Policy(), choice_policies::random(), choice_policies::roundRobin(),
                               choice_policies::leastReportedLoad(), choice_policies::twoChoices()}) {
        ServerChooser chooser(view_, cache_, {.policy = policy});
        EXPECT_EQ(chosen(chooser, request_), std::set<std::string>({"s3"}));
        request_.mayUse = [](const ServerState &server) { return server.id.name() != "s3"; };
        const auto elsewhere = chosen(chooser, request_);
        for (const auto &name : elsewhere) {
            EXPECT_TRUE(name == "s5" || name == "s6" || name == "s7") << name;
        }
        request_.maySpill = false;
        EXPECT_EQ(choose(chooser, request_), std::nullopt);
        EXPECT_EQ(chooser.lastFailure(), RefusalReason::Overloaded);
        request_.maySpill = true;
        request_.mayUse = nullptr;
    }
    view_.applyDrains({});
    ServerChooser chooser(view_, cache_);
    EXPECT_TRUE(chosen(chooser, request_).contains("s0")) << "a removed drain still keeps work away";
}

// Guards against an agent without its engine that attracts requests, each of which costs a retry of the budget.
TEST_F(ServerChooserTest, SkipsServersWhoseEngineIsDown)
{
    ServerChooser chooser(view_, cache_);
    report("s0", {.limit = 10, .warmFraction = 1, .isEngineDown = true});
    EXPECT_FALSE(chosen(chooser, request_).contains("s0"));
    report("s0", {.limit = 10, .warmFraction = 1});
    EXPECT_TRUE(chosen(chooser, request_).contains("s0"));
}

// Guards against locality that overrides load, and against a cache that is never used.
TEST_F(ServerChooserTest, PrefersTheCacheHolderUntilItIsBusy)
{
    const std::vector<std::uint64_t> prefixes = {11, 22, 33};
    request_.prefixes = prefixes;
    const auto holder = *view_.findServer(ServerId("s2"));
    cache_.onDispatched(holder, prefixes);
    ServerChooser chooser(view_, cache_);
    EXPECT_EQ(chosen(chooser, request_), std::set<std::string>({"s2"}));
    report("s2", LoadReport{.inFlight = 9, .limit = 10, .warmFraction = 1});
    EXPECT_FALSE(chosen(chooser, request_).contains("s2"));
}

// Guards against small teams that are spread over all servers, and against homes without budget that are tried first.
TEST_F(ServerChooserTest, PrefersHomeServersWithBudget)
{
    view_.setHomeServers(TeamId("t"), {ServerId("s1"), ServerId("s9")});
    ServerChooser chooser(view_, cache_);
    EXPECT_EQ(chosen(chooser, request_), std::set<std::string>({"s1"}));
    report("s1", LoadReport{.limit = 10, .warmFraction = 1, .teamBudgets = {{TeamId("t"), 0}}});
    EXPECT_FALSE(chosen(chooser, request_).contains("s1"));
}

// Guards against an old report that goes on attracting requests, and against own requests that are not counted.
TEST_F(ServerChooserTest, DistrustsOldReportsAndCountsOwnRequests)
{
    ServerChooser chooser(view_, cache_);
    const auto &server = view_.server(*view_.findServer(ServerId("s0")));
    double last = chooser.loadShare(server, now_);
    for (int seconds = 1; seconds < 5; ++seconds) {
        const double share = chooser.loadShare(server, now_ + std::chrono::seconds(seconds));
        EXPECT_GT(share, last);
        last = share;
    }
    for (int i = 0; i < 4; ++i) {
        view_.onDispatched(ServerId("s0"), incarnationOf(ServerId("s0")));
    }
    EXPECT_NEAR(chooser.loadShare(server, now_), 0.4, 1e-9);
}

// Guards against a cold server that takes its whole limit from each of many entries.
TEST_F(ServerChooserTest, GivesColdServersLittle)
{
    ServerChooser chooser(view_, cache_, {.entryCount = 8});
    view_.onLinkUp(ServerId("s0"), Incarnation(5));
    request_.mayUse = [](const ServerState &state) { return state.id.name() == "s0"; };
    EXPECT_EQ(choose(chooser, request_), ServerId("s0"));
    view_.onDispatched(ServerId("s0"), Incarnation(5));
    EXPECT_EQ(choose(chooser, request_), std::nullopt);
}

// Guards against a cost for each request that grows with the number of servers.
TEST(ServerChooser, ExaminesFewServers)
{
    const TimePoint now{};
    for (const int servers : {16, 200, 1900}) {
        const auto catalogue = routingCatalogue(1, servers);
        ServerView view;
        view.applyCatalogue(catalogue);
        connectAll(view, catalogue, 10, now);
        PrefixCacheView cache;
        ServerChooser chooser(view, cache);
        RandomSource random(1);
        for (int i = 0; i < 100; ++i) {
            const bool isRefusedEverywhere = i % 2 == 0;
            chooser.choose({.team = TeamId("t"),
                            .target = "m",
                            .mayUse = [&](const ServerState &) { return !isRefusedEverywhere; }},
                           now, random);
            EXPECT_LE(chooser.lastExamined(), 12U);
        }
    }
}

// Guards against memory that grows with each replaced server, and against a new server that inherits the old one's
// state.
TEST_F(ServerChooserTest, ReusesThePlaceOfARemovedServer)
{
    auto catalogue = catalogue_;
    const auto index = *view_.findServer(ServerId("s3"));
    catalogue.teams[TeamId("t")];
    view_.setHomeServers(TeamId("t"), {ServerId("s3"), ServerId("s1")});
    view_.setHomeServers(TeamId("removed"), {ServerId("s1")});
    for (int i = 20; i < 30; ++i) {
        auto entry =
            catalogue.servers.extract(catalogue.servers.find(ServerId(i == 20 ? "s3" : "s" + std::to_string(i - 1))));
        entry.key() = ServerId("s" + std::to_string(i));
        catalogue.servers.insert(std::move(entry));
        view_.applyCatalogue(catalogue);
        EXPECT_EQ(view_.findServer(ServerId("s" + std::to_string(i))), index);
        EXPECT_FALSE(view_.isUsable(index)) << "not connected yet";
        view_.onLinkUp(ServerId("s" + std::to_string(i)), Incarnation(1));
        EXPECT_TRUE(view_.isUsable(index));
    }
    EXPECT_EQ(view_.findServer(ServerId("s3")), std::nullopt);
    EXPECT_EQ(view_.findTeam(TeamId("t"))->homes.size(), 1U);
    EXPECT_EQ(view_.findTeam(TeamId("removed")), nullptr);
}

// Guards against sums of a data centre that drift from its servers, which would misdirect spillover.
TEST_F(ServerChooserTest, KeepsSumsEqualToTheServers)
{
    const auto target = *view_.findTarget(WorkKind::Model, "m");
    for (int step = 0; step < 5000; ++step) {
        const ServerId id("s" + std::to_string(random_.below(12)));
        const Incarnation incarnation(1 + random_.below(2));
        const LoadReport report{.inFlight = static_cast<std::uint32_t>(random_.below(9)), .limit = 8, .queued = 1};
        switch (random_.below(7)) {
        case 0:
            view_.onLinkUp(id, incarnation);
            break;
        case 1:
            view_.onLinkDown(id, incarnation);
            break;
        case 2:
            view_.applyDrains({{.id = DrainId("1"), .scope = DrainScope::BackendServer, .name = id.name()}});
            break;
        case 3:
            view_.onFinished(id, incarnation);
            break;
        case 4:
            view_.onReport(id, incarnation, report, now_);
            break;
        default:
            view_.onDispatched(id, incarnation);
        }
        for (DataCentreIndex dataCentre = 0; dataCentre < view_.dataCentreCount(); ++dataCentre) {
            const auto &pool = view_.pool(target, dataCentre);
            std::int64_t load = 0;
            for (const auto index : pool.servers) {
                const auto &server = view_.server(index);
                load += std::int64_t{server.ownInFlight} + server.foreignInFlight() + server.queued;
            }
            ASSERT_EQ(pool.load, load) << "step " << step;
        }
    }
}

} // namespace
} // namespace hornbeamlane
