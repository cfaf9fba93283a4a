#include "fault_matrix/LeaseTable.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;
using testing::LeaseTable;

constexpr TimePoint start(1h);

class TeamLeaseBookTest : public ::testing::Test
{
protected:
    TeamLeaseBook book(const std::string &server, std::uint64_t agent)
    {
        TeamLeaseBook created(TeamId("t"), ServerId(server), Incarnation(agent), {});
        created.setRemainder(10);
        return created;
    }

    /** Carries out one action; the reply is replaced if one is given. Returns false if there is none. */
    bool step(TeamLeaseBook &book, TimePoint now, std::optional<TableStatus> lost = {}, bool takesEffect = true)
    {
        const auto action = book.nextAction(now, 0);
        if (!action) {
            return false;
        }
        if (const auto *read = std::get_if<LeaseRead>(&*action)) {
            book.readFinished(lost ? TableReply{.status = *lost} : table_.read(read->key), now);
        } else {
            const auto &write = std::get<LeaseWrite>(*action).write;
            const auto reply = takesEffect ? table_.write(write) : TableReply{};
            book.writeFinished(lost ? TableReply{.status = *lost} : reply, now);
        }
        return true;
    }

    void acquire(TeamLeaseBook &book, std::uint32_t amount, TimePoint now)
    {
        book.noteDemand(amount);
        while (step(book, now)) {}
    }

    LeaseTable table_;
};

// Guards against a lost reply that loses the lease, doubles it, or lets it last longer than lenders assume.
TEST_F(TeamLeaseBookTest, ResolvesALostReply)
{
    for (const bool takesEffect : {true, false}) {
        for (const auto repetition : {TableStatus::Ok, TableStatus::NoReply, TableStatus::Unavailable}) {
            table_ = LeaseTable();
            auto lost = book("s", 1);
            lost.noteDemand(1);
            ASSERT_TRUE(step(lost, start));
            ASSERT_TRUE(step(lost, start, TableStatus::NoReply, takesEffect));
            EXPECT_EQ(lost.usable(start), 0U);
            EXPECT_FALSE(step(lost, start));
            if (repetition != TableStatus::Ok) {
                ASSERT_TRUE(step(lost, start + 1s, repetition, false));
            }
            while (step(lost, start + 20s)) {}
            EXPECT_EQ(lost.usable(start + 20s), 1U);
            EXPECT_EQ(lost.usableUntil(), start + 120s);
            EXPECT_EQ(TeamLeaseRow::fromString(table_.read("limits/t").row->value)->total(), 1U);
        }
    }
}

// Guards against a lease that is reclaimed too early, never, or by an agent that has not watched it itself.
TEST_F(TeamLeaseBookTest, ReclaimsAfterItsOwnWait)
{
    auto holder = book("s", 1);
    acquire(holder, 10, start);
    acquire(holder, 10, start);
    auto lender = book("s", 2);
    const auto seen = start + 100s;
    for (auto now = seen; now < seen + 180s; now += 10s) {
        acquire(lender, 10, now);
        const auto expected = 10 - TeamLeaseRow::fromString(table_.read("limits/t").row->value)->leases.front().amount;
        EXPECT_LE(lender.usable(now), expected);
    }
    EXPECT_EQ(holder.usable(start + 119s), 7U);
    EXPECT_EQ(holder.usable(start + 120s), 0U);
    const auto before = lender.usable(seen + 170s);
    acquire(lender, 10, seen + 180s);
    EXPECT_GT(lender.usable(seen + 180s), before);
}

// Guards against a lease that is held without need, and against a row that grows with every restart.
TEST_F(TeamLeaseBookTest, GivesBackWhatIsNotNeeded)
{
    auto holder = book("s", 1);
    acquire(holder, 4, start);
    EXPECT_EQ(holder.usable(start), 4U);
    ASSERT_TRUE(step(holder, *holder.nextTimer(0)));
    EXPECT_EQ(TeamLeaseRow::fromString(table_.read("limits/t").row->value)->leases.size(), 0U);
    EXPECT_EQ(holder.usable(start + 41s), 0U);
}

// Guards against leases that exceed a remainder which a new catalogue version has made smaller.
TEST_F(TeamLeaseBookTest, StopsWhenTheRemainderShrinks)
{
    auto holder = book("s", 1);
    acquire(holder, 4, start);
    holder.setRemainder(3);
    EXPECT_EQ(holder.usable(start), 0U);
    acquire(holder, 4, start + 1s);
    EXPECT_EQ(holder.usable(start + 1s), 3U);
}

} // namespace
} // namespace hornbeamlane
