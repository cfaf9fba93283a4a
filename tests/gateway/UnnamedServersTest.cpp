#include "hornbeamlane_gateway/state/UnnamedServers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

class UnnamedServersTest : public ::testing::Test
{
protected:
    bool keep(const std::string &id, const std::string &service, milliseconds warmupLeft = milliseconds(0))
    {
        BackendSpec spec{.id = ServerId(id), .service = ServiceId(service), .address = "10.0.0.1:1"};
        spec.warmupLeft = warmupLeft;
        return servers_.keep(spec, start_);
    }

    std::vector<BackendSpec> takeNamed(const std::string &service, milliseconds after)
    {
        return servers_.takeNamed([&service](const ServiceId &one) { return one.name() == service; }, start_ + after);
    }

    const TimePoint start_ = TimePoint() + std::chrono::hours(1);
    UnnamedServers servers_{2};
};

// Guards against servers that are lost because their rows were read before the catalogue that names their service, and
// against a cold one that is served as if it had become cold only then, or as a warm one.
TEST_F(UnnamedServersTest, GivesServersOutOnceTheirServiceIsNamed)
{
    keep("a", "pool", milliseconds(3000));
    keep("b", "other");
    const auto named = takeNamed("pool", milliseconds(1200));
    ASSERT_EQ(named.size(), 1U);
    EXPECT_EQ(named[0].id, ServerId("a"));
    EXPECT_EQ(named[0].warmupLeft, milliseconds(1800));
    EXPECT_EQ(servers_.size(), 1U);
    EXPECT_EQ(takeNamed("other", milliseconds(5000)).at(0).warmupLeft, milliseconds(0));
}

// Guards against memory that other writers' rows take without bound, and rows that are gone and come back.
TEST_F(UnnamedServersTest, KeepsListedServersUpToItsLimit)
{
    EXPECT_TRUE(keep("a", "pool"));
    EXPECT_TRUE(keep("b", "pool"));
    EXPECT_FALSE(keep("c", "pool"));
    EXPECT_TRUE(keep("b", "other")) << "a newer row of a server that is kept";
    servers_.retainOnly({ServerId("b")});
    EXPECT_EQ(servers_.size(), 1U);
    servers_.drop(ServerId("b"));
    EXPECT_TRUE(takeNamed("other", milliseconds(0)).empty());
}

} // namespace
} // namespace hornbeamlane
