#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include "hornbeamlane_gateway/peers/ArrivalCodec.h"

#include <gtest/gtest.h>

#include <limits>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

const TimePoint start{std::chrono::seconds(10)};

LoadMessage message(const std::string &sender, std::uint64_t sequence, std::uint32_t load,
                    std::uint64_t incarnation = 1)
{
    return {.sender = sender,
            .sequence = sequence,
            .incarnation = Incarnation(incarnation),
            .inFlight = {{ServerHash(7), load}}};
}

// Guards against a codec that loses a field.
TEST(LoadMessageTest, SurvivesItsEncoding)
{
    auto sent = message("entry", 3, 5, 99);
    sent.isMapHolder = true;
    sent.tableVersions = {{.version = 4, .era = 3}, {.version = 1ULL << 40, .era = std::nullopt}};
    sent.bounds = {{ServiceHash(8), 750}};
    sent.rateLimits = {{.server = 9, .perSecond = 2.5, .shownAt = start - milliseconds(300), .sent = 7},
                       {.server = 10, .perSecond = 0, .shownAt = start, .sent = 0},
                       {.server = 11, .perSecond = std::nullopt, .shownAt = start, .sent = 1}};
    sent.demands = {{ServiceHash(8), 1500}};
    const ArrivalRate urgent{.arrivals = {.priority = 0, .isLate = true, .team = 0xABCDEF}, .perSecond = 2.5};
    const ArrivalRate other{.arrivals = {.priority = 9, .team = 7}, .perSecond = 123.25};
    sent.arrivals = {{.service = 8, .rates = {urgent, other}}, {.service = 9, .rates = {}}};
    sent.latencies = {{.server = 12,
                       .sample = {.latency = milliseconds(60),
                                  .deviation = std::chrono::microseconds(1500),
                                  .inFlight = 2.5,
                                  .answers = 3}}};
    sent.relayed = {{.load = message("other", 7, 2, 98), .address = "10.0.0.1:7", .heardAt = start - milliseconds(70)}};
    sent.relayed[0].load.isMapHolder = true;
    // The clocks of two hosts differ; what passes is the age.
    const auto offset = std::chrono::hours(5);
    const auto later = start + offset;
    const auto received = decodeLoadMessage(encodeLoadMessage(sent, start), later);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->sender, "entry");
    EXPECT_EQ(received->sequence, 3U);
    EXPECT_EQ(received->incarnation, Incarnation(99));
    EXPECT_TRUE(received->isMapHolder);
    EXPECT_EQ(received->tableVersions, sent.tableVersions);
    EXPECT_EQ(received->inFlight, sent.inFlight);
    EXPECT_EQ(received->bounds, sent.bounds);
    EXPECT_EQ(received->demands, sent.demands);
    EXPECT_EQ(received->arrivals, sent.arrivals);
    ASSERT_EQ(received->latencies.size(), 1U);
    EXPECT_EQ(received->latencies[0].server, 12U);
    EXPECT_EQ(received->latencies[0].sample.latency, milliseconds(60));
    EXPECT_EQ(received->latencies[0].sample.deviation, std::chrono::microseconds(1500));
    EXPECT_EQ(received->latencies[0].sample.inFlight, 2.5);
    EXPECT_EQ(received->latencies[0].sample.answers, 3U);
    ASSERT_EQ(received->relayed.size(), 1U);
    EXPECT_EQ(received->relayed[0].load.sender, "other");
    EXPECT_EQ(received->relayed[0].load.sequence, 7U);
    EXPECT_EQ(received->relayed[0].load.inFlight, sent.relayed[0].load.inFlight);
    EXPECT_TRUE(received->relayed[0].load.isMapHolder);
    EXPECT_EQ(received->relayed[0].address, "10.0.0.1:7");
    EXPECT_EQ(received->relayed[0].heardAt, later - milliseconds(70));
    ASSERT_EQ(received->rateLimits.size(), sent.rateLimits.size());
    for (std::size_t i = 0; i < sent.rateLimits.size(); ++i) {
        sent.rateLimits[i].shownAt += offset;
        EXPECT_EQ(received->rateLimits[i], sent.rateLimits[i]) << i;
    }
}

// Guards against datagrams of strangers that crash a process or change what it knows.
TEST(LoadMessageTest, RejectsOtherBytes)
{
    constexpr std::uint64_t seed = 4711;
    constexpr int inputs = 20000;
    RandomSource random(seed);
    auto full = message("entry", 3, 5);
    full.rateLimits = {{.server = 9, .perSecond = 2.5, .shownAt = start, .sent = 7}};
    full.demands = {{ServiceHash(8), 1500}};
    full.arrivals = {{.service = 8, .rates = {{.arrivals = {.priority = 1, .team = 7}, .perSecond = 3}}}};
    full.relayed = {{.load = message("other", 7, 2, 98), .address = "10.0.0.1:7", .heardAt = start}};
    const auto good = encodeLoadMessage(full, start);
    EXPECT_FALSE(decodeLoadMessage("", start));
    EXPECT_FALSE(decodeLoadMessage("hello", start));
    for (int i = 0; i < inputs; ++i) {
        auto bytes = good;
        for (std::uint64_t n = 1 + random.below(4); n > 0; --n) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        decodeLoadMessage(bytes.substr(0, random.below(bytes.size() + 1)), start);
    }
}

// Guards against one peer with a bound of its own that draws all others along.
TEST(PeerLoadsTest, TakesTheMedianOfTheBounds)
{
    PeerLoads loads;
    EXPECT_EQ(loads.boundFor(8), std::nullopt);
    for (const auto &[name, bound] : std::map<std::string, std::uint32_t>{{"a", 350}, {"b", 800}, {"c", 820}}) {
        auto told = message(name, 1, 5);
        told.bounds = {{ServiceHash(8), bound}};
        loads.take(told, {.heardAt = start});
    }
    EXPECT_DOUBLE_EQ(*loads.boundFor(8), 0.8);
    EXPECT_EQ(loads.boundFor(9), std::nullopt);
}

// Guards against a datagram that was overtaken and brings back an old load.
TEST(PeerLoadsTest, IgnoresOldMessages)
{
    PeerLoads loads;
    EXPECT_EQ(loads.take(message("a", 2, 5), {.heardAt = start}), PeerLoads::News::Changed);
    EXPECT_EQ(loads.take(message("a", 1, 9), {.heardAt = start}), PeerLoads::News::None);
    EXPECT_EQ(loads.sumFor(ServerHash(7)), 5U);
    // A restarted peer counts from the beginning.
    EXPECT_EQ(loads.take(message("a", 1, 1, 2), {.heardAt = start}), PeerLoads::News::Changed);
    EXPECT_EQ(loads.sumFor(ServerHash(7)), 1U);
}

// Guards against words of an entry's last start that are passed on and come after those of the new one.
TEST(PeerLoadsTest, IgnoresWhatIsPassedOnOfAnEarlierStart)
{
    PeerLoads loads;
    loads.take(message("a", 1, 1, 2), {.heardAt = start});
    const PeerLoads::Origin before{.heardAt = start - milliseconds(300), .isDirect = false};
    EXPECT_EQ(loads.take(message("a", 900, 9, 1), before), PeerLoads::News::None);
    EXPECT_EQ(loads.sumFor(ServerHash(7)), 1U);
    const PeerLoads::Origin after{.heardAt = start + milliseconds(300), .isDirect = false};
    EXPECT_EQ(loads.take(message("a", 1, 4, 3), after), PeerLoads::News::Changed);
    EXPECT_EQ(loads.sumFor(ServerHash(7)), 4U);
}

// Guards against arrivals that are lost when a message does not tell them, and that outlive their peer.
TEST(PeerLoadsTest, KeepsArrivalsUntilThePeerIsSilent)
{
    PeerLoads loads;
    const std::vector<ArrivalRate> rates{{.arrivals = {.priority = 1, .team = 7}, .perSecond = 3}};
    auto telling = message("a", 1, 5);
    telling.arrivals = {{.service = 8, .rates = rates}};
    loads.take(telling, {.heardAt = start});
    loads.take(message("a", 2, 5), {.heardAt = start + milliseconds(100)});
    loads.take(message("of-an-earlier-release", 1, 5), {.heardAt = start});
    ASSERT_EQ(loads.arrivalsFor(8).size(), 1U);
    EXPECT_EQ(*loads.arrivalsFor(8)[0], rates);
    // It tells that nothing comes to it for another service.
    ASSERT_EQ(loads.arrivalsFor(9).size(), 1U);
    EXPECT_TRUE(loads.arrivalsFor(9)[0]->empty());
    loads.expire(start + milliseconds(1600), milliseconds(1500));
    EXPECT_TRUE(loads.arrivalsFor(8).empty());
    // Another start has told nothing yet.
    loads.take(telling, {.heardAt = start});
    loads.take(message("a", 1, 5, 2), {.heardAt = start});
    EXPECT_TRUE(loads.arrivalsFor(8).empty());
}

// Guards against figures that do not fit their form, and against bytes that end early.
TEST(ArrivalCodecTest, BoundsOddFigures)
{
    constexpr double huge = 1e300;
    const std::vector<ServiceArrivals> odd{
        {.service = 8,
         .rates = {{.arrivals = {.priority = 4000000000U, .team = 1}, .perSecond = huge},
                   {.arrivals = {.priority = 1, .team = 2}, .perSecond = std::numeric_limits<double>::quiet_NaN()},
                   {.arrivals = {.priority = 1, .team = 3}, .perSecond = -4}}}};
    auto bytes = encodeArrivals(odd);
    const auto decoded = decodeArrivals(bytes);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->at(0).rates.size(), 3U);
    EXPECT_EQ(decoded->at(0).rates[0].arrivals.priority, leastUrgentPriority);
    EXPECT_DOUBLE_EQ(decoded->at(0).rates[0].perSecond, 10000);
    EXPECT_EQ(decoded->at(0).rates[1].perSecond, 0);
    EXPECT_EQ(decoded->at(0).rates[2].perSecond, 0);
    bytes.pop_back();
    EXPECT_FALSE(decodeArrivals(bytes));
    EXPECT_TRUE(decodeArrivals({})->empty());
}

// Guards against the load of a peer that has gone, which would keep its servers empty.
TEST(PeerLoadsTest, ForgetsSilentPeers)
{
    PeerLoads loads;
    loads.take(message("a", 1, 5), {.heardAt = start});
    loads.take(message("b", 1, 2), {.heardAt = start + milliseconds(1400)});
    EXPECT_EQ(loads.sumFor(ServerHash(7)), 7U);
    EXPECT_TRUE(loads.expire(start + milliseconds(1600), milliseconds(1500)));
    EXPECT_EQ(loads.sumFor(ServerHash(7)), 2U);
    EXPECT_EQ(loads.activePeers(), 1U);
}

} // namespace
} // namespace hornbeamlane
