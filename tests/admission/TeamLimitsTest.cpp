#include "fault_matrix/LeaseTable.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;
using testing::LeaseTable;

constexpr TimePoint start(1h);

/** Two data centres with servers "a0".. and "b0".. that all run model "m", and the team "t". */
Catalogue catalogueOf(int servers, Limits limits, std::uint32_t floorA, std::uint32_t floorB)
{
    Catalogue catalogue;
    for (const std::string dataCentre : {"a", "b"}) {
        catalogue.dataCentres[DataCentreId(dataCentre)].header.name = dataCentre;
        for (int i = 0; i < servers; ++i) {
            const auto name = dataCentre + std::to_string(i);
            auto &server = catalogue.servers[ServerId(name)];
            server.header.name = name;
            server.dataCentre = DataCentreId(dataCentre);
            server.models = {ModelId("m")};
        }
    }
    auto &team = catalogue.teams[TeamId("t")];
    team.header.name = "t";
    team.header.limits = limits;
    team.models = {ModelId("m")};
    team.floors = {{DataCentreId("a"), floorA}, {DataCentreId("b"), floorB}};
    return catalogue;
}

const TeamId team("t");

int reserveAll(TeamLimits &limits, TimePoint now, Duration deadline = 60s)
{
    int count = 0;
    while (count < 1000 && !limits.reserve(team, now + deadline, 0, now)) {
        ++count;
    }
    return count;
}

/** Carries out all table actions until there are none. */
void runTable(TeamLimits &limits, LeaseTable &table, TimePoint now)
{
    while (true) {
        const auto actions = limits.takeTableActions(now);
        if (actions.empty()) {
            return;
        }
        for (const auto &[id, action] : actions) {
            if (const auto *read = std::get_if<LeaseRead>(&action)) {
                limits.readFinished(id, table.read(read->key), now);
            } else {
                limits.writeFinished(id, table.write(std::get<LeaseWrite>(action).write), now);
            }
        }
    }
}

// Guards against shares that add up to more or less than the floor, and against a small team that is spread thinly.
TEST(FloorSplit, SharesAddUpToTheFloor)
{
    for (const int servers : {1, 2, 7, 40}) {
        for (const std::uint32_t floor : {0U, 1U, 2U, 5U, 30U, 100U}) {
            const auto catalogue = catalogueOf(servers, {.concurrency = 1000}, floor, 3);
            const FloorSplit split(catalogue, {});
            std::map<DataCentreId, std::uint32_t> sums;
            std::size_t homes = 0;
            for (const auto &[id, server] : catalogue.servers) {
                const auto share = split.share(catalogue.teams.at(team), id);
                sums[server.dataCentre] += share;
                homes += server.dataCentre == DataCentreId("a") && share > 0 ? 1 : 0;
            }
            EXPECT_EQ(sums[DataCentreId("a")], floor);
            EXPECT_EQ(sums[DataCentreId("b")], 3U);
            EXPECT_LE(homes, std::max(2U, (floor + 3) / 4));
        }
    }
}

// Guards against a floor that one data centre gives away before the other has taken the new version.
TEST(TeamLimits, UsesTheSmallestFloorUntilTheVersionIsSettled)
{
    const auto before = catalogueOf(1, {.concurrency = 10}, 8, 2);
    const auto after = catalogueOf(1, {.concurrency = 10}, 2, 8);
    TeamLimits limits(ServerId("b0"), Incarnation(1), {});
    EXPECT_EQ(limits.reserve(team, start, 0, start)->reason, RefusalReason::NotReady);
    limits.apply(CatalogueVersion(4), before, CatalogueVersion(4), start);
    limits.apply(CatalogueVersion(6), after, CatalogueVersion(4), start);
    EXPECT_EQ(limits.missingVersions(), std::vector{CatalogueVersion(5)});
    EXPECT_EQ(reserveAll(limits, start), 0);
    limits.apply(CatalogueVersion(5), after, CatalogueVersion(4), start);
    EXPECT_EQ(reserveAll(limits, start), 2);
    limits.apply(CatalogueVersion(7), after, CatalogueVersion(5), start);
    EXPECT_EQ(reserveAll(limits, start), 6);
    EXPECT_TRUE(limits.isWithinShares(start));
    limits.apply(CatalogueVersion(8), before, CatalogueVersion(7), start);
    EXPECT_FALSE(limits.isWithinShares(start));
    EXPECT_EQ(limits.reserve(TeamId("x"), start, 0, start)->reason, RefusalReason::UnknownTeam);
}

// Guards against requests that still run under a lease when it has ended.
TEST(TeamLimits, RunsUnderALeaseOnlyWhatEndsWithIt)
{
    LeaseTable table;
    const auto catalogue = catalogueOf(1, {.concurrency = 10}, 2, 2);
    TeamLimits limits(ServerId("a0"), Incarnation(1), {});
    limits.apply(CatalogueVersion(1), catalogue, CatalogueVersion(1), start);
    EXPECT_EQ(reserveAll(limits, start), 2);
    for (int i = 0; i < 20; ++i) {
        runTable(limits, table, start);
        reserveAll(limits, start);
    }
    EXPECT_EQ(limits.freeConcurrency(team, start), 0U);
    limits.release(team, 0, start);
    EXPECT_EQ(reserveAll(limits, start, 3min), 0);
    EXPECT_EQ(reserveAll(limits, start, 1min), 1);
    EXPECT_TRUE(limits.isWithinShares(start));
    EXPECT_FALSE(limits.isWithinShares(start + 2min));
}

// Guards against rates above the limit, summed over all servers and restarts.
TEST(TeamLimits, KeepsRatesAcrossServersAndRestarts)
{
    for (const std::uint32_t rate : {1U, 7U, 50U}) {
        const auto catalogue =
            catalogueOf(3, {.concurrency = 12, .requestsPerSecond = rate, .tokensPerSecond = rate * 100}, 6, 6);
        double admitted = 0;
        double generated = 0;
        std::map<ServerId, std::unique_ptr<TeamLimits>> agents;
        for (int step = 0; step < 6000; ++step) {
            const auto now = start + step * 10ms;
            for (const auto &[id, server] : catalogue.servers) {
                auto &agent = agents[id];
                if (!agent || step % 700 == 0) {
                    agent = std::make_unique<TeamLimits>(id, Incarnation(1), TeamLimits::Options{});
                    agent->apply(CatalogueVersion(1), catalogue, CatalogueVersion(1), now);
                }
                const std::uint32_t tokens = step % 2 == 0 ? 30 : 150;
                if (!agent->reserve(team, now + 1s, tokens, now)) {
                    agent->release(team, step % 3 == 0 ? tokens / 2 : 0, now);
                    admitted += 1;
                    generated += step % 3 == 0 ? tokens - tokens / 2 : tokens;
                }
            }
        }
        EXPECT_LE(admitted, rate * 61 + 6);
        EXPECT_LE(generated, rate * 100 * 61 + 6 * 150);
        EXPECT_GE(admitted, rate * 20);
    }
}

// Guards against a row that another release or a fault has written in another form.
TEST(TeamLeaseRow, RefusesOtherTexts)
{
    const TeamLeaseRow row{.leases = {{.server = ServerId("s \"1\""),
                                       .agent = Incarnation(UINT64_MAX),
                                       .amount = 3,
                                       .duration = 5s,
                                       .sequence = 9}}};
    EXPECT_EQ(TeamLeaseRow::fromString(row.toString())->leases, row.leases);
    for (const char *text : {"", "[]", "{", "{\"leases\":3}", "{\"leases\":[{\"server\":\"s\"}]}"}) {
        EXPECT_FALSE(TeamLeaseRow::fromString(text).has_value()) << text;
    }
}

} // namespace
} // namespace hornbeamlane
