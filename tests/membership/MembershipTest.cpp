#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

DrainSet setOf(const std::vector<std::string> &added, const std::vector<std::string> &removed)
{
    DrainSet set;
    for (const auto &id : added) {
        set.add({.id = DrainId(id), .scope = DrainScope::Host, .name = "host-" + id});
    }
    for (const auto &id : removed) {
        set.remove(DrainId(id));
    }
    return set;
}

// Guards against a removed drain that an old copy brings back, and against results that depend on the order of merges.
TEST(DrainSet, MergeIsAUnionThatNeverReverts)
{
    const std::vector<DrainSet> sets = {setOf({"1", "2"}, {}), setOf({"1"}, {"2"}), setOf({"3"}, {"1"}), DrainSet()};
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        DrainSet merged;
        for (const auto index : order) {
            merged.merge(sets[index]);
            EXPECT_FALSE(merged.merge(sets[index]));
        }
        EXPECT_EQ(merged, setOf({"3"}, {"1", "2"}));
        EXPECT_EQ(merged.digest(), setOf({"3"}, {"1", "2"}).digest());
    } while (std::next_permutation(order.begin(), order.end()));
    EXPECT_EQ(DrainSet().digest(), 0U);
}

// Guards against drains lost in the row, and against a damaged row taken for an empty one.
TEST(DrainSet, SurvivesRowAndMessage)
{
    const auto set = setOf({"1"}, {"2"});
    EXPECT_EQ(DrainSet::fromRowValue(set.toRowValue()), set);
    EXPECT_EQ(DrainSet::fromUpdate(set.toUpdate()), set);
    for (const char *value : {"", "[]", "{}", R"({"added":[1],"removed":[]})", R"({"added":[],"removed":[1]})",
                              R"({"added":[{"id":"1","scope":"rack","name":"a"}],"removed":[]})"}) {
        EXPECT_FALSE(DrainSet::fromRowValue(value).has_value()) << value;
    }
}

// Guards against a drain that matches the wrong kind of thing with the same name.
TEST(DrainSet, MatchesByScope)
{
    for (const auto scope : {DrainScope::DataCentre, DrainScope::Host, DrainScope::BackendServer}) {
        DrainSet set;
        set.add({.id = DrainId("1"), .scope = scope, .name = "x"});
        const DataCentreId x("x");
        const DataCentreId y("y");
        EXPECT_EQ(set.isDrained(x, HostId("y"), ServerId("y")), scope == DrainScope::DataCentre);
        EXPECT_EQ(set.isDrained(y, HostId("x"), ServerId("y")), scope == DrainScope::Host);
        EXPECT_EQ(set.isDrained(y, HostId("y"), ServerId("x")), scope == DrainScope::BackendServer);
        EXPECT_EQ(drainScopeFromString(toString(scope)), scope);
    }
    EXPECT_FALSE(drainScopeFromString("rack").has_value());
}

// Guards against a data centre that serves although its entry says stop, or stops although it says serve.
TEST(ContactWatch, StopsOnlyByPolicyAndAfterTheLimit)
{
    const TimePoint start;
    ContactWatch watch({}, start);
    watch.noteContact(start + 1s);
    EXPECT_TRUE(watch.mayServe(CutOffPolicy::Stop, start + 5999ms));
    EXPECT_FALSE(watch.mayServe(CutOffPolicy::Stop, start + 6s));
    EXPECT_TRUE(watch.mayServe(CutOffPolicy::Serve, start + 1h));
    watch.noteContact(start + 10s);
    EXPECT_TRUE(watch.mayServe(CutOffPolicy::Stop, start + 11s));
}

// Guards against full load on a data centre that has just returned.
TEST(ReturnRamp, RisesFromFivePercentWithinAMinute)
{
    const TimePoint start;
    const DataCentreId a("a");
    ReturnRamp ramp({});
    ramp.notePresent(a, start);
    EXPECT_EQ(ramp.share(a, start), 1);
    ramp.noteAbsent(a);
    EXPECT_EQ(ramp.share(a, start), 0);
    ramp.notePresent(a, start);
    ramp.notePresent(a, start + 1s);
    EXPECT_DOUBLE_EQ(ramp.share(a, start), 0.05);
    EXPECT_NEAR(ramp.share(a, start + 30s), 0.525, 1e-9);
    EXPECT_DOUBLE_EQ(ramp.share(a, start + 60s), 1);
    ramp.noteAbsent(a);
    ramp.notePresent(a, start + 61s);
    EXPECT_DOUBLE_EQ(ramp.share(a, start + 61s), 0.05);
}

// Guards against a majority that misses the entries that know the newest version.
TEST(CatalogueKeeper, StartsOnlyWithEnoughAnswers)
{
    struct Case
    {
        CatalogueKeeper::StartState state;
        ProcessRole role;
        bool mayStart;
    };
    const auto entry = ProcessRole::Entry;
    const std::vector<Case> cases = {
        {{.listedEntries = 7, .linkedEntries = 7, .answers = 4, .sinceStart = 1h}, entry, false},
        {{.listedEntries = 7, .linkedEntries = 7, .answers = 5}, entry, true},
        {{.listedEntries = 2, .linkedEntries = 1, .answers = 1, .sinceStart = 1h}, entry, false},
        {{.listedEntries = 1, .linkedEntries = 1, .answers = 1}, entry, true},
        {{.listedEntries = 0, .sinceStart = 1h}, entry, false},
        {{.linkedEntries = 3, .answers = 3, .sinceStart = 1h}, entry, false},
        {{.listedEntries = 2, .linkedEntries = 1, .hasReadTable = true}, entry, false},
        {{.listedEntries = 2, .linkedEntries = 1, .hasReadTable = true, .sinceStart = 2s}, entry, true},
        {{.listedEntries = 2, .linkedEntries = 2, .hasReadTable = true}, entry, true},
        {{.linkedEntries = 3, .answers = 2, .sinceStart = 1h}, ProcessRole::Agent, false},
        {{.linkedEntries = 3, .answers = 3, .sinceStart = 2s}, ProcessRole::Agent, true},
        {{.listedEntries = 3, .linkedEntries = 3, .answers = 2}, ProcessRole::Agent, true},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        CatalogueKeeper::Options options{.role = cases[i].role};
        EXPECT_EQ(CatalogueKeeper::hasStartQuorum(cases[i].state, options), cases[i].mayStart) << i;
    }
}

// Guards against every entry reading the table, and against no one reading it when a reader dies.
TEST(CatalogueKeeper, TwoReadersInADataCentreAndTheNextTakesOver)
{
    const TimePoint start;
    HostView view;
    std::vector<HostRecord> hosts(7, {.dataCentre = DataCentreId("a")});
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].name = HostId("e" + std::to_string(i));
    }
    view.update(hosts, start);
    const auto readers = [&](TimePoint now, const std::set<std::string> &silent) {
        std::set<std::string> names;
        for (const auto &host : hosts) {
            CatalogueKeeper keeper({.name = host.name.name(), .dataCentre = host.dataCentre}, start);
            keeper.updateHosts(view);
            for (const auto &peer : hosts) {
                keeper.linkUp(peer.name.name(), {.dataCentre = host.dataCentre}, start);
                if (!silent.contains(peer.name.name())) {
                    keeper.onHeartbeat(peer.name.name(), {}, now);
                }
            }
            if (!silent.contains(host.name.name()) && keeper.isReader(now)) {
                names.insert(host.name.name());
            }
        }
        return names;
    };
    const auto first = readers(start + 1s, {});
    EXPECT_EQ(first.size(), 2U);
    const auto second = readers(start + 4s, first);
    EXPECT_EQ(second.size(), 2U);
    for (const auto &name : first) {
        EXPECT_FALSE(second.contains(name));
    }
}

// Guards against a version settled while a server of an older version may still use that version's floors.
TEST(SettlementTracker, WaitsForTheServersOfEveryOlderVersion)
{
    CatalogueHead head;
    SettlementTracker tracker({}, CatalogueVersion());
    const std::vector<std::set<ServerId>> servers = {
        {ServerId("s1")}, {ServerId("s1"), ServerId("s2")}, {ServerId("s1")}};
    for (std::uint64_t version = 1; version <= servers.size(); ++version) {
        head.accept(CatalogueVersion(version));
    }
    tracker.addVersion(CatalogueVersion(1), servers[0]);
    tracker.addVersion(CatalogueVersion(3), servers[2]);
    const Confirmations all = {{"s1", CatalogueVersion(3)}, {"s2", CatalogueVersion(3)}};
    EXPECT_EQ(tracker.missingVersion(head), CatalogueVersion(2));
    EXPECT_EQ(tracker.update(head, all), CatalogueVersion());
    tracker.addVersion(CatalogueVersion(2), servers[1]);
    EXPECT_EQ(tracker.update(head, {{"s1", CatalogueVersion(3)}}), CatalogueVersion());
    EXPECT_EQ(tracker.update(head, {{"s1", CatalogueVersion(3)}, {"s2", CatalogueVersion(2)}}), CatalogueVersion(2));
    EXPECT_EQ(tracker.update(head, all), CatalogueVersion(3));
}

// Guards against more than one write a second, and against a confirmation lost when the two readers write in turn.
TEST(ConfirmationBook, WritesAtMostOnceASecondAndMergesWithTheOtherReader)
{
    TimePoint now;
    ConfirmationBook book({.dataCentre = DataCentreId("a")});
    book.note("h1", CatalogueVersion(2));
    EXPECT_TRUE(book.tick(false, now).empty());
    ASSERT_TRUE(std::holds_alternative<ReadRow>(book.tick(true, now).at(0)));
    const TableRow row{.key = "confirmations/a",
                       .version = RowVersion(4),
                       .value = confirmationsToRowValue({{"h2", CatalogueVersion(3)}})};
    book.onRow({.status = TableStatus::Ok, .row = row});
    EXPECT_TRUE(book.tick(true, now + 999ms).empty());
    const auto actions = book.tick(true, now + 1s);
    const auto &write = std::get<WriteRow>(actions.at(0)).write;
    EXPECT_EQ(write.expectedVersion, RowVersion(4));
    EXPECT_EQ(confirmationsFromRowValue(write.value),
              (Confirmations{{"h1", CatalogueVersion(2)}, {"h2", CatalogueVersion(3)}}));
    book.onWritten({.status = TableStatus::NoReply});
    EXPECT_TRUE(std::holds_alternative<ReadRow>(book.tick(true, now + 2s).at(0)));
    EXPECT_FALSE(confirmationsFromRowValue("[]").has_value());
}

} // namespace
} // namespace hornbeamlane
