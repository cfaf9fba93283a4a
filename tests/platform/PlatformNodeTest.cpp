#include "platform/PlatformNode.h"
#include "platform/NodeSettings.h"
#include "platform/soak/SoakStore.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

namespace hornbeamlane::platform {
namespace {

using std::chrono::milliseconds;

/** An entry at a store that fails or comes back from an older copy. */
class PlatformNodeTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(store_.listen("127.0.0.1:0", "127.0.0.1:0"));
        node_ = std::make_unique<PlatformNode>(loop_, random_, settingsOfEntry(store_));
    }

    bool isRegistered() const
    {
        return store_.hasRow("hornbeamlane-entries", "entry");
    }

    void runFor(milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    bool runUntil(const std::function<bool()> &isDone, milliseconds limit)
    {
        const auto end = loop_.now() + limit;
        Timer check(loop_, [&] {
            if (isDone() || loop_.now() > end) {
                loop_.stop();
            }
        });
        check.startRepeating(milliseconds(2));
        loop_.run();
        return isDone();
    }

    EventLoop loop_;
    RandomSource random_{5};
    SoakStore store_{loop_, random_};
    std::unique_ptr<PlatformNode> node_;
};

// Guards against an entry that nobody finds for 15 s after a restore, because the reply to its read of the other
// entries, which tells of the later era, puts off its registration.
TEST_F(PlatformNodeTest, RegistersAgainWithinASecondOfARestore)
{
    store_.keepCopy();
    store_.setFault(SoakStore::Fault::Slow);
    ASSERT_TRUE(node_->start());
    ASSERT_TRUE(runUntil([&] { return isRegistered(); }, milliseconds(2000)));
    // The read of the other entries is now sent, and answered after the restore.
    store_.restoreCopy();
    ASSERT_FALSE(isRegistered());
    // One second for the registration, and twice the time of a slow answer: to hear of the restore, and to write.
    EXPECT_TRUE(runUntil([&] { return isRegistered(); }, milliseconds(1500)));
}

// Guards against an entry that writes its row again after it has stopped: the others would send it loads for as long as
// the row is there.
TEST_F(PlatformNodeTest, StaysRemovedWhenARegistrationFailsAfterTheStop)
{
    store_.setFault(SoakStore::Fault::Silent);
    ASSERT_TRUE(node_->start());
    runFor(milliseconds(100));
    store_.setFault(SoakStore::Fault::None);
    node_->shutDown([] {});
    // The unanswered registration fails after 0.7 s and would be tried again a second later.
    EXPECT_FALSE(runUntil([&] { return isRegistered(); }, milliseconds(2500)));
}

// Guards against the same when the registration is carried out after the removal, which may overtake it.
TEST_F(PlatformNodeTest, RemovesARegistrationThatIsCarriedOutAfterTheStop)
{
    store_.setFault(SoakStore::Fault::Slow);
    ASSERT_TRUE(node_->start());
    runFor(milliseconds(100));
    store_.setFault(SoakStore::Fault::None);
    node_->shutDown([] {});
    // The removal is carried out at once, and a second one slowly, so that the row can be seen between them.
    runFor(milliseconds(30));
    store_.setFault(SoakStore::Fault::Slow);
    ASSERT_TRUE(runUntil([&] { return isRegistered(); }, milliseconds(1000)));
    EXPECT_TRUE(runUntil([&] { return !isRegistered(); }, milliseconds(1000)));
}

} // namespace
} // namespace hornbeamlane::platform
