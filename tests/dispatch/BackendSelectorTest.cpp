#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace hornbeamlane {
namespace {

const ServiceId pool{"pool"};
const ServiceId other{"other"};
const TimePoint start{std::chrono::seconds(100)};

BackendSpec server(int number, const ServiceId &service = pool)
{
    return {.id = ServerId(std::to_string(number)), .service = service, .slots = 4};
}

// Load pattern "many servers, one of them free": guards against a request that is refused because the sample has missed
// the only server that could take it.
TEST(BackendSelectorTest, FindsTheOnlyFreeServerOfMany)
{
    constexpr int servers = 1900;
    BackendBook book;
    RandomSource random(3);
    for (int i = 0; i < servers; ++i) {
        book.update(server(i), start);
        book.setPeersInFlight(ServerId(std::to_string(i)), i == 1234 ? 0 : 5);
    }
    EXPECT_EQ(book.choose({.service = pool}, start, random), ServerId("1234"));
    book.setPeersInFlight(ServerId("1234"), 5);
    EXPECT_FALSE(book.choose({.service = pool}, start, random));
    EXPECT_EQ(book.lastFailure(), BackendBook::NoChoice::AllFull);
}

// Load pattern "many servers, half of them busy": guards against a sample that leaves some servers out for good, and
// against one so small that busy servers are chosen.
TEST(BackendSelectorTest, SpreadsOverManyServersAndAvoidsBusyOnes)
{
    constexpr int servers = 1000;
    constexpr int requests = 20000;
    BackendBook book;
    RandomSource random(3);
    for (int i = 0; i < servers; ++i) {
        book.update(server(i), start);
        book.setPeersInFlight(ServerId(std::to_string(i)), i % 2 == 0 ? 3 : 0);
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < requests; ++i) {
        ++chosen[book.choose({.service = pool}, start, random)->name()];
    }
    EXPECT_EQ(chosen.size(), servers / 2U);
    for (const auto &[name, count] : chosen) {
        EXPECT_EQ(std::stoi(name) % 2, 1) << name;
        EXPECT_LT(count, 4 * requests / (servers / 2)) << name;
    }
}

// Guards against an index that keeps a server under a service that it has left, or one that has been forgotten.
TEST(BackendSelectorTest, FollowsAServerThatChangesItsServiceAndForgetsOneThatHasGone)
{
    BackendBook book;
    RandomSource random(3);
    book.update(server(1), start);
    book.update(server(1, other), start);
    EXPECT_FALSE(book.choose({.service = pool}, start, random));
    EXPECT_EQ(book.lastFailure(), BackendBook::NoChoice::NoServer);
    EXPECT_EQ(book.choose({.service = other}, start, random), ServerId("1"));
    EXPECT_EQ(book.usable(other, start).size(), 1U);
    book.remove(ServerId("1"), std::nullopt);
    EXPECT_EQ(book.sweep(start).size(), 1U);
    EXPECT_FALSE(book.choose({.service = other}, start, random));
    EXPECT_TRUE(book.paceUnits(other, start).empty());
    auto moved = std::move(book);
    moved.update(server(2), start);
    EXPECT_EQ(moved.choose({.service = pool}, start, random), ServerId("2"));
}

// Guards against streams that go to a full pace unit because only a part of its ranks was compared.
TEST(BackendSelectorTest, TakesTheLoadOfAWholePaceUnit)
{
    constexpr std::uint32_t ranks = 300;
    std::uint32_t seen = 0;
    BackendBook book({.paceFill = [&seen](const PaceUnitId &, const PaceUnitLoad &load) {
        seen = load.inFlight;
        return 0.0;
    }});
    RandomSource random(3);
    for (std::uint32_t i = 0; i < ranks; ++i) {
        auto rank = server(static_cast<int>(i));
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = 1, .rank = i, .size = ranks, .isOpen = true};
        book.update(rank, start);
        book.setPeersInFlight(rank.id, 1);
    }
    ASSERT_TRUE(book.choose({.service = pool, .isStream = true}, start, random));
    EXPECT_EQ(seen, ranks);
}

struct Ranks
{
    std::string group;
    std::string dataCentre;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint32_t size = 0;
};

void addRanks(BackendBook &book, const Ranks &ranks)
{
    for (auto i = ranks.from; i < ranks.to; ++i) {
        book.update(
            {.id = ServerId(ranks.group + std::to_string(i)),
             .service = pool,
             .dataCentre = DataCentreId(ranks.dataCentre),
             .slots = 12,
             .group =
                 GroupPlace{.group = GroupId(ranks.group), .epoch = 1, .rank = i, .size = ranks.size, .isOpen = true}},
            start);
    }
}

/** Sends streams from one data centre, none of which ends; how many went to servers of each. */
std::map<std::string, std::uint32_t> sendStreams(BackendBook &book, const std::string &from, std::uint32_t count)
{
    RandomSource random(3);
    std::map<std::string, std::uint32_t> sent;
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto server =
            book.choose({.service = pool, .dataCentre = DataCentreId(from), .isStream = true}, start, random);
        if (!server) {
            break;
        }
        book.onSent(*server, start);
        ++sent[book.find(*server)->spec.dataCentre.name()];
    }
    return sent;
}

// Load pattern "a group that spans data centres, callers at one of them": a pass is as long as its fullest rank makes
// it, so ranks near the callers that are filled first make the streams of all ranks late.
TEST(BackendSelectorTest, FillsTheRanksOfAGroupThatSpansDataCentresEvenly)
{
    constexpr std::uint32_t ranksPerDataCentre = 6;
    BackendBook book({.paceFill = [](const PaceUnitId &, const PaceUnitLoad &load) {
        return static_cast<double>(load.inFlight) / load.places;
    }});
    addRanks(book, {.group = "g", .dataCentre = "here", .from = 0, .to = 6, .size = 12});
    addRanks(book, {.group = "g", .dataCentre = "there", .from = 6, .to = 12, .size = 12});
    auto sent = sendStreams(book, "here", 70);
    // One stream more at each of the nearer ranks is what the distance may cost.
    EXPECT_LE(sent["here"], sent["there"] + ranksPerDataCentre);
    EXPECT_LE(sent["there"], sent["here"] + ranksPerDataCentre);
}

// Guards against streams that cross to another data centre while the group in their own has room.
TEST(BackendSelectorTest, KeepsStreamsAtTheGroupOfTheirDataCentreWhileItHasRoom)
{
    BackendBook book({.paceFill = [](const PaceUnitId &, const PaceUnitLoad &load) {
        return static_cast<double>(load.inFlight) / load.places;
    }});
    addRanks(book, {.group = "near", .dataCentre = "here", .from = 0, .to = 6, .size = 6});
    addRanks(book, {.group = "far", .dataCentre = "there", .from = 0, .to = 6, .size = 6});
    auto sent = sendStreams(book, "here", 30);
    EXPECT_EQ(sent["here"], 30U);
    sent = sendStreams(book, "here", 60);
    EXPECT_GT(sent["there"], 15U);
}

// Failure "a data centre is cut off": an entry on either side cannot reach some ranks of the group that spans it.
// Guards against streams that go on to its other ranks, which cannot finish a pass, until the store says that it is
// broken.
TEST(BackendSelectorTest, SendsStreamsToTheWholeGroupOnceRanksOfAnotherCannotBeReached)
{
    BackendBook book;
    RandomSource random(3);
    addRanks(book, {.group = "cut", .dataCentre = "here", .from = 0, .to = 3, .size = 6});
    addRanks(book, {.group = "cut", .dataCentre = "gone", .from = 3, .to = 6, .size = 6});
    addRanks(book, {.group = "whole", .dataCentre = "there", .from = 0, .to = 6, .size = 6});
    for (const auto *rank : {"cut3", "cut4"}) {
        book.onSent(ServerId(rank), start);
        book.onEnded(ServerId(rank), BackendOutcome::Unreachable, start);
        book.onRankTurnedAway(ServerId(rank), 1, start);
    }
    auto sent = sendStreams(book, "here", 20);
    EXPECT_EQ(sent["there"], 20U);
}

// Failure "a group forms again": an answer from the epoch before comes last. Guards against a group that is closed for
// seconds although it serves.
TEST(GroupWatchTest, IgnoresARejectionFromBeforeTheGroupHasFormed)
{
    GroupWatch watch({});
    const GroupPlace place{.group = GroupId("g"), .epoch = 5, .rank = 0, .size = 2, .isOpen = false};
    watch.onAllRanksListed(place.group, place.epoch, start);
    ASSERT_TRUE(watch.onProgress(place));
    watch.onRankLost(place.group, 4, start);
    EXPECT_TRUE(watch.isOpen(place, start));
    watch.onRankLost(place.group, 5, start);
    EXPECT_FALSE(watch.isOpen(place, start));
}

// Load pattern "a server that slows down long before it is full": guards against a capacity that counts all its slots,
// so that nothing is rejected on arrival.
TEST(BackendSelectorTest, CountsWhatServersOfAPlainServiceTakeWell)
{
    const ServerFinding slow{.takesWell = 2.2};
    BackendBook book(
        {.findingOf = [&slow](const Backend &backend) { return backend.spec.id == ServerId("1") ? &slow : nullptr; }});
    book.update(server(1), start);
    book.update(server(2), start);
    std::uint32_t places = 0;
    std::uint32_t takesWell = 0;
    for (const auto &[unit, load] : book.paceUnits(pool, start)) {
        places += load.places;
        takesWell += load.takesWell;
    }
    EXPECT_EQ(places, 8U);
    EXPECT_EQ(takesWell, 7U);
}

} // namespace
} // namespace hornbeamlane
