#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
const ServerId server("s1");

// Guards against a server that stays out of use after it has started again, and one that is used again before.
TEST(ServerNoticesTest, HoldForOneStartOfAServer)
{
    ServerNotices notices;
    EXPECT_TRUE(notices.onLeaving(server, 1, start));
    EXPECT_FALSE(notices.onLeaving(server, 1, start));
    EXPECT_TRUE(notices.isLeaving(server, 1));
    EXPECT_FALSE(notices.isLeaving(server, 2));
    EXPECT_FALSE(notices.isLeaving(ServerId("s2"), 1));
}

// Guards against a pause that ends early because the server has asked for a shorter one since, or that is not longer
// though it has asked for that.
TEST(ServerNoticesTest, KeepTheLongestPause)
{
    using std::chrono::seconds;
    ServerNotices notices({.memory = std::chrono::minutes(1)});
    EXPECT_TRUE(notices.onPause(server, 1, start + seconds(10), start));
    EXPECT_FALSE(notices.onPause(server, 1, start + seconds(5), start + seconds(1)));
    EXPECT_EQ(notices.pausedUntil(server, 1), start + seconds(10));
    EXPECT_TRUE(notices.onPause(server, 1, start + seconds(300), start + seconds(2)));
    notices.expire(start + seconds(200));
    EXPECT_EQ(notices.pausedUntil(server, 1), start + seconds(300));
    EXPECT_LT(notices.pausedUntil(server, 2), start);
    notices.expire(start + seconds(301));
    EXPECT_LT(notices.pausedUntil(server, 1), start);
}

// Guards against requests for a server that has asked for a pause, and against callers that are told to come back
// before the first of them ends.
TEST(ServerNoticesTest, KeepAPausedServerOutOfUse)
{
    using std::chrono::seconds;
    BackendBook book;
    RandomSource random(1);
    const ServiceId desk("desk");
    const auto choice = [&](TimePoint now) { return book.choose({.service = desk}, now, random); };
    book.update({.id = server, .service = desk, .address = "127.0.0.1:1"}, start);
    book.update({.id = ServerId("s2"), .service = desk, .address = "127.0.0.1:2"}, start);
    book.onPause(server, 0, start + seconds(4), start);
    EXPECT_EQ(choice(start), ServerId("s2"));
    EXPECT_EQ(book.pauseLeft(desk, start), Duration::zero());
    EXPECT_EQ(book.occupancy(desk, start).places, 1U);
    book.onPause(ServerId("s2"), 0, start + seconds(9), start);
    EXPECT_FALSE(choice(start + seconds(1)));
    EXPECT_EQ(book.lastFailure(), BackendBook::NoChoice::AllPaused);
    EXPECT_EQ(book.pauseLeft(desk, start + seconds(1)), seconds(3));
    EXPECT_EQ(choice(start + seconds(4)), server);
    EXPECT_TRUE(choice(start + seconds(9)));
}

// Guards against memory that grows with servers that come and go.
TEST(ServerNoticesTest, AreForgotten)
{
    ServerNotices notices({.maxStarts = 4});
    for (std::uint64_t incarnation = 1; incarnation <= 6; ++incarnation) {
        notices.onLeaving(server, incarnation, start + std::chrono::seconds(incarnation));
    }
    EXPECT_FALSE(notices.isLeaving(server, 2));
    EXPECT_TRUE(notices.isLeaving(server, 3));
    notices.expire(start + std::chrono::hours(2));
    EXPECT_FALSE(notices.isLeaving(server, 6));
}

// Guards against requests for a server that said in its answers that it leaves, since its entry still calls it ready,
// or has lapsed and come back.
TEST(ServerNoticesTest, KeepALeavingServerOutOfUse)
{
    BackendBook book;
    RandomSource random(1);
    const BackendSpec spec{.id = server, .service = ServiceId("desk"), .address = "127.0.0.1:1", .incarnation = 7};
    const auto choice = [&](TimePoint now) { return book.choose({.service = ServiceId("desk")}, now, random); };
    book.update(spec, start);
    EXPECT_TRUE(choice(start));
    book.onLeaving(server, 7, start);
    EXPECT_FALSE(choice(start));
    EXPECT_EQ(book.lastFailure(), BackendBook::NoChoice::NoServer);
    book.update(spec, start + std::chrono::seconds(1));
    EXPECT_FALSE(choice(start + std::chrono::seconds(1)));
    book.remove(server, std::nullopt);
    book.sweep(start + std::chrono::seconds(2));
    book.update(spec, start + std::chrono::seconds(3));
    EXPECT_FALSE(choice(start + std::chrono::seconds(3)));
    auto next = spec;
    next.incarnation = 8;
    book.update(next, start + std::chrono::seconds(4));
    EXPECT_TRUE(choice(start + std::chrono::seconds(4)));
}

} // namespace
} // namespace hornbeamlane
