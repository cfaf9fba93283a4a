#include "hornbeamlane_gateway/state/GroupProbe.h"
#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class GroupProbeTest : public ::testing::Test
{
protected:
    GroupProbeTest()
    {
        tell("a", 0, 4, false);
        tell("b", 1, 4, false);
    }

    /** The entry of a rank of the group, which has three. */
    void tell(const char *name, std::uint32_t rank, std::uint64_t epoch, bool isOpen)
    {
        servers_.update(
            {.id = ServerId(name),
             .service = ServiceId("pool"),
             .address = name,
             .dataCentre = DataCentreId("here"),
             .slots = 4,
             .group = GroupPlace{.group = GroupId("g"), .epoch = epoch, .rank = rank, .size = 3, .isOpen = isOpen}},
            start_);
    }

    bool isServed(TimePoint now)
    {
        return servers_.choose({.service = ServiceId("pool"), .dataCentre = DataCentreId("here")}, now, random_)
            .has_value();
    }

    EventLoop loop_;
    RandomSource random_{3};
    BackendBook servers_;
    const TimePoint start_ = TimePoint() + std::chrono::hours(1);
    std::optional<EngineRankReport> report_;
    int asked_ = 0;
    int formed_ = 0;
    GroupProbe probe_{loop_,
                      random_,
                      servers_,
                      {},
                      {.readReport =
                           [this](const RankEndpoint &rank, const auto &reply) {
                               ++asked_;
                               if (report_) {
                                   report_->rank = rank.rank;
                               }
                               reply(report_);
                           },
                       .hasFormed = [this](const ServerId &) { ++formed_; }}};
};

// Guards against a group that serves again and gets nothing: the store has fallen silent before its entries could say
// so, and the entry of the rank that was lost has not come back.
TEST_F(GroupProbeTest, OpensAGroupThatARankReportsAsOpen)
{
    probe_.sweep(start_ + seconds(2));
    EXPECT_EQ(asked_, 0);
    report_ = EngineRankReport{.epoch = GroupEpoch(4), .isOpen = false};
    probe_.sweep(start_ + seconds(3));
    probe_.sweep(start_ + seconds(3) + milliseconds(250));
    EXPECT_EQ(asked_, 1);
    EXPECT_FALSE(isServed(start_ + seconds(3)));
    report_ = EngineRankReport{.epoch = GroupEpoch(5), .isOpen = true};
    probe_.sweep(start_ + seconds(4));
    EXPECT_EQ(formed_, 1);
    EXPECT_TRUE(isServed(start_ + seconds(4)));
    probe_.sweep(start_ + seconds(5));
    EXPECT_EQ(asked_, 2);
}

// Guards against a report that is older than the entries, and against one that cannot be had.
TEST_F(GroupProbeTest, KeepsAGroupClosedWithoutNews)
{
    probe_.sweep(start_ + seconds(3));
    report_ = EngineRankReport{.epoch = GroupEpoch(4), .isOpen = true};
    probe_.sweep(start_ + seconds(4));
    EXPECT_EQ(asked_, 2);
    EXPECT_EQ(formed_, 0);
    EXPECT_FALSE(isServed(start_ + seconds(4)));
}

// Guards against holding on to a group that was reported open and has lost a rank again.
TEST_F(GroupProbeTest, AsksAgainAfterTheNextLoss)
{
    report_ = EngineRankReport{.epoch = GroupEpoch(5), .isOpen = true};
    probe_.sweep(start_ + seconds(3));
    servers_.onRankLost(ServerId("a"), servers_.groupEpochOf(ServerId("a")), start_ + seconds(6));
    EXPECT_FALSE(isServed(start_ + seconds(6)));
    report_ = EngineRankReport{.epoch = GroupEpoch(5), .isOpen = false};
    probe_.sweep(start_ + seconds(7));
    EXPECT_FALSE(isServed(start_ + seconds(7)));
    report_ = EngineRankReport{.epoch = GroupEpoch(6), .isOpen = true};
    probe_.sweep(start_ + seconds(8));
    EXPECT_TRUE(isServed(start_ + seconds(8)));
    EXPECT_EQ(formed_, 2);
}

} // namespace
} // namespace hornbeamlane
