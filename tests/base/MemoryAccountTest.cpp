#include "hornbeamlane_base/memory/MemoryAccount.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kilobyte = 1024;

/** An account of 1 MB with holds that free their bytes when they are dropped. */
class MemoryAccountTest : public ::testing::Test
{
protected:
    MemoryHold &add(HoldPhase phase, std::size_t bytes)
    {
        const auto index = holds_.size();
        holds_.push_back(std::make_unique<MemoryHold>(account_, [this, index] { dropped_.push_back(index); }));
        holds_.back()->enter(phase, now_);
        hadRoom_ = holds_.back()->resize(bytes, now_);
        return *holds_.back();
    }

    TimePoint now_{10s};
    MemoryAccount account_{MemoryAccount::Options{.limit = 1024 * kilobyte}};
    std::vector<std::unique_ptr<MemoryHold>> holds_;
    std::vector<std::size_t> dropped_;
    bool hadRoom_ = false;
};

// Guards against a limit beyond the memory of the smallest hosts, and one below a single request within the limits.
TEST(MemoryLimitTest, LeavesTheProcessItsMemory)
{
    constexpr std::size_t megabyte = 1024 * kilobyte;
    EXPECT_EQ(memoryLimitOf(0), 16 * megabyte);
    EXPECT_EQ(memoryLimitOf(80 * megabyte), 16 * megabyte);
    EXPECT_EQ(memoryLimitOf(112 * megabyte), 32 * megabyte);
    EXPECT_EQ(memoryLimitOf(260 * megabyte), 106 * megabyte);
}

// Guards against a crowd of large bodies that shuts out requests of ordinary size.
TEST_F(MemoryAccountTest, SmallRequestDisplacesTheLargestOneThatIsRead)
{
    add(HoldPhase::Reading, 300 * kilobyte);
    add(HoldPhase::Reading, 700 * kilobyte);
    add(HoldPhase::Reading, 50 * kilobyte);
    EXPECT_TRUE(hadRoom_);
    EXPECT_EQ(dropped_, std::vector<std::size_t>{1});
    EXPECT_EQ(account_.heldBytes(), 350 * kilobyte);
}

// Guards against equal requests that displace each other in turn, so that none is ever read whole.
TEST_F(MemoryAccountTest, RequestOfTheSameSizeIsRefused)
{
    add(HoldPhase::Reading, 600 * kilobyte);
    add(HoldPhase::Reading, 600 * kilobyte);
    EXPECT_FALSE(hadRoom_);
    EXPECT_TRUE(dropped_.empty());
    EXPECT_EQ(account_.counters().refused, 1);
}

// Guards against bodies that stop short of their end and keep their memory.
TEST_F(MemoryAccountTest, SlowRequestGivesWayToOneOfTheSameSize)
{
    add(HoldPhase::Reading, 600 * kilobyte);
    now_ += 1500ms;
    add(HoldPhase::Reading, 600 * kilobyte);
    EXPECT_TRUE(hadRoom_);
    EXPECT_EQ(dropped_, std::vector<std::size_t>{0});
}

TEST_F(MemoryAccountTest, RequestThatMakesProgressIsNotSlow)
{
    auto &first = add(HoldPhase::Reading, 600 * kilobyte);
    now_ += 1500ms;
    first.noteProgress(100 * kilobyte);
    add(HoldPhase::Reading, 600 * kilobyte);
    EXPECT_FALSE(hadRoom_);
}

// Of requests of similar size the one that has been read for the longest time goes first.
TEST_F(MemoryAccountTest, OldestOfSimilarSizeIsDroppedFirst)
{
    add(HoldPhase::Reading, 400 * kilobyte);
    now_ += 100ms;
    add(HoldPhase::Reading, 410 * kilobyte);
    add(HoldPhase::Reading, 200 * kilobyte);
    add(HoldPhase::Reading, 20 * kilobyte);
    EXPECT_EQ(dropped_, std::vector<std::size_t>{0});
}

// Guards against requests that have run in vain because others came after them.
TEST_F(MemoryAccountTest, RunningRequestIsNeverDropped)
{
    add(HoldPhase::Running, 1000 * kilobyte);
    now_ += 60s;
    add(HoldPhase::Reading, 100 * kilobyte);
    EXPECT_FALSE(hadRoom_);
    add(HoldPhase::Running, 100 * kilobyte);
    EXPECT_TRUE(hadRoom_);
    EXPECT_EQ(dropped_, std::vector<std::size_t>{1});
    EXPECT_TRUE(account_.isShort());
}

// Guards against callers that take nothing of their answers and so shut out all requests.
TEST_F(MemoryAccountTest, AnswerGivesWayOnlyOnceItsCallerIsSlow)
{
    auto &answer = add(HoldPhase::Unread, 1000 * kilobyte);
    auto &request = add(HoldPhase::Reading, 100 * kilobyte);
    EXPECT_FALSE(hadRoom_);
    request.resize(0, now_);
    now_ += 1500ms;
    answer.noteProgress(100 * kilobyte);
    EXPECT_FALSE(request.resize(100 * kilobyte, now_));
    request.resize(0, now_);
    now_ += 60s;
    EXPECT_TRUE(request.resize(100 * kilobyte, now_));
    EXPECT_EQ(dropped_, std::vector<std::size_t>{0});
}

TEST_F(MemoryAccountTest, UnreadRequestsAreDroppedBeforeAnswers)
{
    add(HoldPhase::Unread, 600 * kilobyte);
    add(HoldPhase::Reading, 100 * kilobyte);
    add(HoldPhase::Running, 330 * kilobyte);
    EXPECT_EQ(dropped_, std::vector<std::size_t>{1});
}

// Guards against idle connections that take all descriptors.
TEST_F(MemoryAccountTest, LongestIdleConnectionGivesItsDescriptor)
{
    add(HoldPhase::Running, 0);
    add(HoldPhase::Idle, 0);
    EXPECT_FALSE(account_.dropForDescriptor(now_));
    now_ += 600ms;
    add(HoldPhase::Idle, 0);
    EXPECT_TRUE(account_.dropForDescriptor(now_));
    EXPECT_EQ(dropped_, std::vector<std::size_t>{1});
}

// Guards against one connection that is closed for several new ones: its owner frees it on the next turn of the loop.
TEST_F(MemoryAccountTest, EachNewConnectionTakesTheDescriptorOfAnother)
{
    add(HoldPhase::Idle, 0);
    add(HoldPhase::Idle, 0);
    now_ += 600ms;
    EXPECT_TRUE(account_.dropForDescriptor(now_));
    EXPECT_TRUE(account_.dropForDescriptor(now_));
    EXPECT_FALSE(account_.dropForDescriptor(now_));
    EXPECT_EQ(dropped_.size(), 2);
}

TEST_F(MemoryAccountTest, DestroyedHoldReturnsItsBytes)
{
    add(HoldPhase::Running, 100 * kilobyte);
    holds_.clear();
    EXPECT_EQ(account_.heldBytes(), 0);
}

} // namespace
} // namespace hornbeamlane
