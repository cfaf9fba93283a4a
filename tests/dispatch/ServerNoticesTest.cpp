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
