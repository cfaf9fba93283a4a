#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

/** One row, which can be out of reach. */
class OneRowTable final : public TableClient
{
public:
    explicit OneRowTable(EventLoop &loop)
        : loop_(loop)
    {
    }

    void read(const std::string &key, ReplyHandler handler) override
    {
        reply(handler, [this, key] {
            return version_ == 0
                ? TableReply{.status = TableStatus::NotFound, .row = std::nullopt}
                : TableReply{.status = TableStatus::Ok,
                             .row = TableRow{.key = key, .version = RowVersion(version_), .value = value_}};
        });
    }

    void write(const TableWrite &write, ReplyHandler handler) override
    {
        reply(handler, [this, write] {
            if (write.expectedVersion.value() != version_) {
                return TableReply{.status = TableStatus::Conflict, .row = std::nullopt};
            }
            value_ = write.value;
            ++version_;
            return TableReply{.status = TableStatus::Ok,
                              .row = TableRow{.key = write.key, .version = RowVersion(version_), .value = ""}};
        });
    }

    void remove(const std::string &, RowVersion, ReplyHandler) override
    {
    }

    void list(const std::string &, ListHandler) override
    {
    }

    void setAway(bool isAway)
    {
        isAway_ = isAway;
    }

    /** Answers come so late, also those to writes that are done at once. */
    void setDelay(milliseconds delay)
    {
        delay_ = delay;
    }

private:
    void reply(const ReplyHandler &handler, const std::function<TableReply()> &make)
    {
        const auto answer = isAway_ ? TableReply{.status = TableStatus::NoReply, .row = std::nullopt} : make();
        if (delay_ == milliseconds(0)) {
            loop_.post([handler, answer] { handler(answer); });
            return;
        }
        late_ = std::make_unique<Timer>(loop_, [handler, answer] { handler(answer); });
        late_->startOnce(delay_);
    }

    EventLoop &loop_;
    std::string value_;
    std::uint64_t version_ = 0;
    bool isAway_ = false;
    milliseconds delay_{0};
    std::unique_ptr<Timer> late_;
};

class MapDutyTest : public ::testing::Test
{
protected:
    MapDutyTest()
        : duty_(loop_, table_,
                {.self = Incarnation(5),
                 .leaseDuration = milliseconds(200),
                 .renewInterval = milliseconds(50),
                 .readInterval = milliseconds(30),
                 .holderSilence = milliseconds(100),
                 .tickInterval = milliseconds(10),
                 .holdWithoutStore = milliseconds(600)},
                {.engines = {},
                 .servers = [this]() -> const std::map<ServerId, Backend> & { return servers_; },
                 .engineOf = [](const ServiceId &) { return std::optional<EngineModel>(); },
                 .holderHeardAt = [this] { return holderHeardAt_; }})
    {
        duty_.start();
        runFor(milliseconds(100));
    }

    void runFor(milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    EventLoop loop_;
    OneRowTable table_{loop_};
    std::map<ServerId, Backend> servers_;
    TimePoint holderHeardAt_;
    MapDuty duty_;
};

// Guards against maps that nobody adapts while the store is away (incident of 2026-12-04).
TEST_F(MapDutyTest, GoesOnWhileNobodyCanTakeTheLease)
{
    ASSERT_TRUE(duty_.isHolder());
    table_.setAway(true);
    runFor(milliseconds(400));
    EXPECT_TRUE(duty_.isHolder());
    table_.setAway(false);
    runFor(milliseconds(200));
    EXPECT_TRUE(duty_.isHolder());
}

// Guards against maps that nobody adapts while the store is slow: a renewal that takes longer than the lease lasts is
// no sign of another holder. The holder lost its lease every few hundred milliseconds and each time started anew.
TEST_F(MapDutyTest, GoesOnWhileARenewalIsUnanswered)
{
    ASSERT_TRUE(duty_.isHolder());
    table_.setDelay(milliseconds(250));
    for (int look = 0; look < 12; ++look) {
        runFor(milliseconds(70));
        EXPECT_TRUE(duty_.isHolder()) << "look " << look;
    }
}

// Guards against two holders for long: one that hears another gives up.
TEST_F(MapDutyTest, GivesUpWhenAnotherHolderIsHeard)
{
    ASSERT_TRUE(duty_.isHolder());
    table_.setAway(true);
    runFor(milliseconds(300));
    holderHeardAt_ = loop_.now();
    runFor(milliseconds(30));
    EXPECT_FALSE(duty_.isHolder());
}

// Guards against a holder without a lease for good.
TEST_F(MapDutyTest, GivesUpAfterALongTimeWithoutTheStore)
{
    ASSERT_TRUE(duty_.isHolder());
    table_.setAway(true);
    runFor(milliseconds(1100));
    EXPECT_FALSE(duty_.isHolder());
}

/** A holder of the lease with groups of ranks; notes which of them are asked and get orders. */
class MapDutyGroupsTest : public ::testing::Test
{
protected:
    MapDutyGroupsTest()
    {
        EngineApi engines;
        engines.sendOrder = [this](const RankEndpoint &rank, const auto &, auto, auto) {
            ordered_.insert(rank.address);
        };
        engines.readReport = [this](const RankEndpoint &rank, auto handler) {
            asked_.insert(rank.address);
            if (report_) {
                report_->rank = rank.rank;
                loop_.post([handler, report = report_] { handler(report); });
            }
        };
        engines.readCounts = [](const auto &, auto) {};
        engines.readPlacement = [](const auto &, auto) {};
        duty_ = std::make_unique<MapDuty>(
            loop_, table_, MapDuty::Options{.self = Incarnation(5), .maxGroups = 2},
            MapDuty::Hooks{.engines = engines,
                           .servers = [this]() -> const std::map<ServerId, Backend> & { return servers_; },
                           .engineOf =
                               [](const ServiceId &) {
                                   return std::optional(
                                       EngineModel{.expertLayers = 2, .expertsPerLayer = 8, .placesPerRank = 5});
                               },
                           .holderHeardAt = [] { return TimePoint(); }});
    }

    void addRank(const std::string &group, std::uint32_t rank, std::uint32_t size)
    {
        const auto id = group + "-" + std::to_string(rank) + "-" + std::to_string(size);
        auto &backend = servers_[ServerId(id)];
        backend.spec.id = ServerId(id);
        backend.spec.address = id;
        backend.spec.group =
            GroupPlace{.group = GroupId(group), .epoch = 1, .rank = rank, .size = size, .isOpen = true};
    }

    void run()
    {
        duty_->start();
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(milliseconds(800));
        loop_.run();
        ASSERT_TRUE(duty_->isHolder());
    }

    EventLoop loop_;
    OneRowTable table_{loop_};
    std::map<ServerId, Backend> servers_;
    std::set<std::string> asked_;
    std::set<std::string> ordered_;
    /** What each rank reports; empty while they answer nothing. */
    std::optional<EngineRankReport> report_;
    std::unique_ptr<MapDuty> duty_;
};

// Guards against a row of another writer that ends every holder of the lease: it states a group of four thousand
// million ranks, and memory was taken for each of them (review/2). The same number in a row of a sound group hides
// nothing.
TEST_F(MapDutyGroupsTest, LeavesOutSizesThatNoRowsBearOut)
{
    constexpr std::uint32_t tooMany = 4000000000;
    addRank("odd", 0, tooMany);
    addRank("sound", 0, 2);
    addRank("sound", 1, 2);
    addRank("sound", 1, tooMany);
    run();
    EXPECT_EQ(asked_, (std::set<std::string>{"sound-0-2", "sound-1-2"}));
}

// Guards against rows of another writer that name a sound group with fewer ranks, all of them there: its keeper was
// given their addresses as those of its own ranks.
TEST_F(MapDutyGroupsTest, KeepsAGroupAtTheLargestSizeWithAllRows)
{
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        addRank("sound", rank, 3);
    }
    addRank("sound", 0, 2);
    addRank("sound", 1, 2);
    // The group stands behind a pass that an earlier holder has held, so that all ranks get orders at once.
    report_ = EngineRankReport{.epoch = GroupEpoch(1),
                               .isOpen = true,
                               .step = StepNumber(4),
                               .prepared = ExpertMapVersion(7),
                               .heldStep = StepNumber(5)};
    run();
    EXPECT_EQ(asked_, (std::set<std::string>{"sound-0-3", "sound-1-3", "sound-2-3"}));
    EXPECT_EQ(ordered_, asked_);
}

// Guards against many rows of moderate size which together take more memory than one group may: the largest groups are
// kept, whatever came first.
TEST_F(MapDutyGroupsTest, KeepsTheLargestOfManyGroups)
{
    for (int group = 0; group < 50; ++group) {
        const auto name = "a" + std::to_string(group);
        addRank(name, 0, 2);
        addRank(name, 1, 2);
    }
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        addRank("real", rank, 3);
    }
    run();
    EXPECT_TRUE(asked_.contains("real-0-3"));
    EXPECT_LE(asked_.size(), 3U + 2U);
}

} // namespace
} // namespace hornbeamlane
