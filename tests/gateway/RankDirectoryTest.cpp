#include "hornbeamlane_gateway/maps/RankDirectory.h"

#include <gtest/gtest.h>

#include <list>
#include <set>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using Outcome = RankDirectory::Outcome;

class RankDirectoryTest : public ::testing::Test
{
protected:
    /** Adds a row for rank 0 of two. */
    void addRow(const std::string &id, const std::string &address, std::uint64_t incarnation = 1)
    {
        BackendSpec row{.id = ServerId(id), .service = ServiceId("pool"), .address = address};
        row.incarnation = incarnation;
        row.group = GroupPlace{.group = GroupId("pool/g"), .epoch = 1, .rank = 0, .size = 2, .isOpen = true};
        specs_.push_back(row);
        setRows();
    }

    void removeRow(const std::string &id)
    {
        specs_.remove_if([&id](const BackendSpec &spec) { return spec.id.name() == id; });
        setRows();
    }

    void setRows()
    {
        RankDirectory::Rows rows;
        for (const auto &spec : specs_) {
            rows[spec.group->rank].push_back(&spec);
        }
        directory_.setRows(rows);
    }

    std::vector<RankEndpoint> beginRound()
    {
        now_ += milliseconds(1100);
        return directory_.beginRound(0, now_);
    }

    /** Runs a round in which the servers at these addresses report to be the rank. */
    Outcome runRound(const std::set<std::string> &ranks)
    {
        auto outcome = Outcome::Pending;
        for (const auto &endpoint : beginRound()) {
            outcome = directory_.onAnswer(endpoint, ranks.contains(endpoint.address), now_);
        }
        return outcome;
    }

    std::string known() const
    {
        const auto *endpoint = directory_.find(0);
        return endpoint == nullptr ? "" : endpoint->server.name();
    }

    std::list<BackendSpec> specs_;
    RankDirectory directory_;
    TimePoint now_ = TimePoint() + std::chrono::hours(1);
};

// Guards against orders to a server that only its row calls a rank.
TEST_F(RankDirectoryTest, KnowsARankOnceItsServerHasReported)
{
    addRow("a", "10.0.0.1:1");
    EXPECT_EQ(known(), "");
    EXPECT_EQ(runRound({}), Outcome::NotFound);
    EXPECT_EQ(known(), "");
    EXPECT_EQ(runRound({"10.0.0.1:1"}), Outcome::Found);
    EXPECT_EQ(known(), "a");
    EXPECT_TRUE(beginRound().empty());
}

// Guards against a rank that is taken from the row read last, whichever that is.
TEST_F(RankDirectoryTest, PrefersTheServerThatReportsOverOneThatDoesNot)
{
    addRow("a", "10.0.0.1:1");
    addRow("b", "10.0.0.2:1");
    EXPECT_EQ(runRound({"10.0.0.1:1"}), Outcome::Found);
    EXPECT_EQ(known(), "a");
    directory_.restart();
    EXPECT_EQ(known(), "");
    EXPECT_EQ(runRound({"10.0.0.2:1"}), Outcome::Found);
    EXPECT_EQ(known(), "b");
}

// Guards against a decision before all servers that may be the rank have answered.
TEST_F(RankDirectoryTest, WaitsForAllAnswersOfARound)
{
    addRow("a", "10.0.0.1:1");
    addRow("b", "10.0.0.2:1");
    const auto asked = beginRound();
    ASSERT_EQ(asked.size(), 2U);
    EXPECT_EQ(directory_.onAnswer(asked[0], true, now_), Outcome::Pending);
    EXPECT_EQ(known(), "");
    EXPECT_TRUE(beginRound().empty());
    EXPECT_EQ(directory_.onAnswer(asked[1], true, now_), Outcome::Contested);
    EXPECT_EQ(known(), "");
    removeRow("b");
    EXPECT_EQ(runRound({"10.0.0.1:1"}), Outcome::Found);
}

// Guards against a rank that is lost, or moves, because another writer adds a row for it.
TEST_F(RankDirectoryTest, StaysKnownWhenARowIsAdded)
{
    addRow("b", "10.0.0.2:1");
    runRound({"10.0.0.2:1"});
    addRow("a", "10.0.0.1:1");
    addRow("c", "10.0.0.1:2");
    EXPECT_EQ(known(), "b");
    removeRow("b");
    EXPECT_EQ(known(), "");
}

// Guards against a rank that stays with a server that has ended while its row is still there.
TEST_F(RankDirectoryTest, AsksTheOthersWhenTheRankDoesNotReport)
{
    addRow("a", "10.0.0.1:1");
    runRound({"10.0.0.1:1"});
    const auto first = *directory_.find(0);
    EXPECT_EQ(directory_.onAnswer(first, false, now_), Outcome::NotFound);
    EXPECT_EQ(known(), "a") << "nobody else can be the rank";
    addRow("b", "10.0.0.2:1");
    directory_.onAnswer(first, false, now_);
    EXPECT_EQ(known(), "");
    EXPECT_EQ(runRound({"10.0.0.2:1"}), Outcome::Found);
    EXPECT_EQ(known(), "b");
}

// Guards against orders under the id of a server that is no longer at its address: they are rejected for ever.
TEST_F(RankDirectoryTest, LeavesOutARowWhoseAddressAnotherServerHas)
{
    addRow("a", "10.0.0.1:1", 7);
    addRow("b", "10.0.0.1:1", 5);
    runRound({"10.0.0.1:1"});
    EXPECT_EQ(known(), "a") << "the later start has the address";
    directory_.onMisdirected(*directory_.find(0), now_);
    EXPECT_EQ(known(), "");
    runRound({"10.0.0.1:1"});
    EXPECT_EQ(known(), "b");
    now_ += std::chrono::seconds(20);
    directory_.onMisdirected(*directory_.find(0), now_);
    runRound({"10.0.0.1:1"});
    EXPECT_EQ(known(), "a") << "it is tried again after a while";
}

} // namespace
} // namespace hornbeamlane
