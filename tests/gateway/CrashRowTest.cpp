#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

/** Two entries that follow the same row and hear each other by nothing else. */
class CrashRowTest : public ::testing::Test
{
protected:
    struct Entry
    {
        explicit Entry(CrashRowTest &test)
            : row(test.loop_, test.random_, evidence, options(),
                  {.write = [&test](const std::string &value, RowVersion expected,
                                    const TableClient::ReplyHandler &handler) { test.write(value, expected, handler); },
                   .timeOfDay = [] { return std::chrono::system_clock::now(); },
                   .changed = [] {},
                   .told = [](const ServerCrash &, CrashNews) {}})
        {
        }

        static CrashRow::Options options()
        {
            return {.fromDelay = milliseconds(2), .toDelay = milliseconds(6), .firstPause = milliseconds(5)};
        }

        CrashEvidence evidence;
        CrashRow row;
    };

    void write(const std::string &value, RowVersion expected, const TableClient::ReplyHandler &handler)
    {
        if (expected != version_) {
            handler({.status = TableStatus::Conflict});
            return;
        }
        ++writes_;
        version_ = version_.next();
        handler({.status = TableStatus::Ok, .row = TableRow{.key = "known", .version = version_}});
        loop_.post([this, value, version = version_] {
            first_.row.onRow(value, version);
            second_.row.onRow(value, version);
        });
    }

    void learn(Entry &entry, std::uint64_t crash, std::uint64_t firstRequest)
    {
        ServerCrash told{.id = CrashId(crash), .at = loop_.now()};
        for (std::uint64_t number = firstRequest; number < firstRequest + 16; ++number) {
            std::vector<TraitHash> parts;
            for (std::uint64_t part = 0; part < 32; ++part) {
                parts.emplace_back(1000 * number + part);
            }
            told.candidates.push_back({.traits = {.whole = TraitHash(number), .parts = std::move(parts)}});
        }
        entry.evidence.onCrash(told, loop_.now());
        entry.row.check();
    }

    void runFor(milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    EventLoop loop_;
    RandomSource random_{3};
    RowVersion version_;
    int writes_ = 0;
    Entry first_{*this};
    Entry second_{*this};
};

// Guards against entries that overwrite each other's row for ever because it cannot hold all that they know.
TEST_F(CrashRowTest, ComesToRestWhenMoreIsKnownThanTheRowHolds)
{
    for (std::uint64_t crash = 1; crash <= 20; ++crash) {
        learn(crash % 2 == 0 ? first_ : second_, crash, 100 * crash);
    }
    runFor(milliseconds(200));
    const int writes = writes_;
    EXPECT_GE(writes, 1);
    runFor(milliseconds(300));
    EXPECT_EQ(writes_, writes);
}

// Guards against a row that lacks what one of two entries knows.
TEST_F(CrashRowTest, HoldsWhatBothKnow)
{
    learn(first_, 1, 100);
    learn(second_, 2, 200);
    runFor(milliseconds(100));
    EXPECT_EQ(first_.evidence.digest(), second_.evidence.digest());
    EXPECT_EQ(first_.evidence.crashes().size(), 2U);
    EXPECT_LE(writes_, 3);
}

// Guards against evidence that stays out of a restored table: the row that is left has a lower version, or is gone, and
// writes name a version that no longer exists.
TEST_F(CrashRowTest, WritesAgainWhatARestoredTableHasLost)
{
    learn(first_, 1, 1);
    runFor(milliseconds(60));
    ASSERT_EQ(writes_, 1);
    learn(first_, 2, 100);
    runFor(milliseconds(60));
    ASSERT_EQ(writes_, 2);
    version_ = RowVersion(0);
    for (auto *entry : {&first_, &second_}) {
        entry->row.onRestored();
    }
    runFor(milliseconds(100));
    EXPECT_GE(writes_, 3);
    EXPECT_EQ(first_.evidence.crashes().size(), 2U);
}

} // namespace
} // namespace hornbeamlane
