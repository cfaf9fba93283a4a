#include "platform/RowDecoders.h"
#include "platform/Base64.h"
#include "platform/PlatformSettings.h"

#include <gtest/gtest.h>

namespace hornbeamlane::platform {
namespace {

const std::string server = R"({"Service":"pool","Address":"10.0.0.1:80","Zone":"a","Slots":12,"Phase":"ready",
    "WarmupLeftMs":250,"born":17,"group":{"Name":"g","epoch":2,"rank":3,"Phase":"open"},"size":16})";

const std::string catalogue = R"({"Version":7,"Routes":[{"Name":"r","Hostname":"h","Prefix":"/a/","Type":"streaming",
    "TimeoutMs":8000,"TargetLatencyMs":400,"Priority":1,"Backends":[{"Service":"x","Weight":9},{"Service":"y","Weight":1}],
    "MaxAttempts":2,"Public":false,"Resumable":true,"GapTargetMs":120}],
    "Services":[{"Name":"x","MaxConnections":418,"WarmupS":3.0,"WarmupPerS":38.0,
    "Engine":{"Slots":12,"Stride":5,"Sets":4,"Experts":64,"Placements":5,"Spare":2}}],
    "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,"IdleTimeoutMs":400},
    "Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":0}]})";

TEST(Base64Test, DecodesWhatItEncodes)
{
    std::string bytes;
    for (int i = 0; i < 300; ++i) {
        EXPECT_EQ(decodeBase64(encodeBase64(bytes)), bytes);
        bytes += static_cast<char>(i * 7);
    }
    EXPECT_EQ(encodeBase64("node-1"), "bm9kZS0x");
    EXPECT_EQ(decodeBase64("bm9k!!!!"), "nod");
}

// Guards against fields that lose their meaning on the way into the product.
TEST(RowDecodersTest, ReadsAServer)
{
    std::string reason;
    const auto spec = decodeServer("i-1", server, reason);
    ASSERT_TRUE(spec) << reason;
    EXPECT_EQ(spec->slots, 12U);
    EXPECT_EQ(spec->warmupLeft, std::chrono::milliseconds(250));
    ASSERT_TRUE(spec->group);
    EXPECT_EQ(spec->group->rank, 3U);
    EXPECT_TRUE(spec->group->isOpen);
}

TEST(RowDecodersTest, ReadsACatalogue)
{
    std::string reason;
    const auto result = decodeCatalogue(catalogue, reason);
    ASSERT_TRUE(result) << reason;
    EXPECT_EQ(result->version, CatalogueVersion(7));
    const auto &route = result->routes.at(0);
    EXPECT_EQ(route.kind, RequestKind::Stream);
    EXPECT_EQ(route.services.size(), 2U);
    EXPECT_TRUE(route.isResumable);
    EXPECT_EQ(route.pauseTarget, std::chrono::milliseconds(120));
    ASSERT_TRUE(result->services.at(0).engine);
    EXPECT_EQ(result->services.at(0).engine->sparePlaces, 2U);
    EXPECT_EQ(result->limits.maxBodyBytes, 200U);
    EXPECT_EQ(result->teams->at(0).priority, 0U);
}

// Guards against entries of other writers that name no server to use.
TEST(RowDecodersTest, RejectsEntriesThatNameNoServer)
{
    const auto rejects = [](std::string text, const std::string &from, const std::string &to) {
        text.replace(text.find(from), from.size(), to);
        std::string reason;
        return !decodeServer("i-1", text, reason).has_value() && !reason.empty();
    };
    EXPECT_TRUE(rejects(server, "\"ready\"", "\"resting\""));
    EXPECT_TRUE(rejects(server, "12", "\"12\""));
    EXPECT_TRUE(rejects(server, "\"10.0.0.1:80\"", "\"nowhere\""));
    EXPECT_TRUE(rejects(server, "\"Service\":\"pool\",", ""));
    std::string reason;
    EXPECT_FALSE(decodeServer("i-1", std::string{char(0xff), char(0), char(0x7b)}, reason));
}

// Guards against rows that crash the decoder: each cut and each changed byte is a result or a reason.
TEST(RowDecodersTest, SurvivesChangedBytes)
{
    constexpr std::uint64_t seed = 99;
    constexpr int inputs = 5000;
    RandomSource random(seed);
    for (int i = 0; i < inputs; ++i) {
        for (auto text : {server, catalogue}) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
            text.resize(random.below(2) == 0 ? text.size() : random.below(text.size()));
            std::string reason;
            decodeServer("i-1", text, reason);
            decodeCatalogue(text, reason);
        }
    }
}

// Guards against a start with settings that cannot work; every fault is named with its path.
TEST(PlatformSettingsTest, NamesEveryFault)
{
    DocumentFaults faults;
    EXPECT_FALSE(parsePlatformSettings("{}", faults));
    std::vector<std::string> paths;
    for (const auto &fault : faults) {
        paths.push_back(fault.path);
    }
    const std::vector<std::string> expected = {"/NodeName",     "/Zone",          "/Listen/Frontend",
                                               "/Listen/Ready", "/InternalPorts", "/Platform/Address"};
    EXPECT_EQ(paths, expected);
    faults.clear();
    EXPECT_FALSE(parsePlatformSettings("[", faults));
    EXPECT_EQ(faults.size(), 1U);
}

TEST(PlatformSettingsTest, ReadsSettings)
{
    DocumentFaults faults;
    const auto settings = parsePlatformSettings(
        R"({"NodeName":"n","Zone":"a","Zones":{"a":"r"},"Ip":"10.0.0.1","Listen":{"Frontend":"10.0.0.1:1","Ready":
        "10.0.0.1:2"},"InternalPorts":[7340,7355],"SeedNodes":["10.0.0.2:9"],"Limits":{"MaxFds":4100},
        "Bounds":{"GraceS":8,"RetryBudgetRatio":0.2,"RetryAllowance":92,"BudgetWindowS":10},
        "Platform":{"Address":"10.9.0.1:80"}})",
        faults);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->gateway.peerAddress, "10.0.0.1:7340");
    EXPECT_EQ(settings->gateway.peerSeeds, std::vector<std::string>{"10.0.0.2:7340"});
    EXPECT_EQ(settings->gateway.shutdownBound, std::chrono::seconds(8));
    EXPECT_EQ(settings->gateway.maxConnections, 3400U);
}

} // namespace
} // namespace hornbeamlane::platform
