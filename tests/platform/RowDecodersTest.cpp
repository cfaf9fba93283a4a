#include "platform/RowDecoders.h"
#include "platform/Base64.h"
#include "platform/EngineClient.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreClient.h"
#include "standins/ScriptedServer.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hornbeamlane::platform {
namespace {

const std::string server = R"({"Service":"pool","Address":"10.0.0.1:80","Zone":"a","Version":"v1","Slots":12,
    "Phase":"ready","WarmupLeftMs":250,"Sequence":4,"born":17,"group":{"Name":"g","epoch":2,"rank":3,"Phase":"open"},"size":16})";

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

// Guards against an entry of another writer that lacks one field, or has it of another type, and is used as a server:
// its address may be another program's, which answers requests that it does not know.
TEST(RowDecodersTest, DemandsEachFieldOfAServer)
{
    const auto whole = nlohmann::json::parse(server);
    const std::vector<std::string> fields = {"Service", "Address",      "Zone",     "Version", "Slots",
                                             "Phase",   "WarmupLeftMs", "Sequence", "born"};
    std::string reason;
    ASSERT_TRUE(decodeServer("i-1", whole.dump(), reason)) << reason;
    for (const auto &field : fields) {
        auto lacking = whole;
        lacking.erase(field);
        EXPECT_FALSE(decodeServer("i-1", lacking.dump(), reason)) << field;
        for (const auto &odd : {nlohmann::json(nullptr), nlohmann::json(true), nlohmann::json::array({1})}) {
            auto changed = whole;
            changed[field] = odd;
            EXPECT_FALSE(decodeServer("i-1", changed.dump(), reason)) << changed.dump();
        }
    }
    for (const auto &field : {"Name", "epoch", "rank", "Phase"}) {
        auto lacking = whole;
        lacking["group"].erase(field);
        EXPECT_FALSE(decodeServer("i-1", lacking.dump(), reason)) << field;
    }
    auto sizeOnly = whole;
    sizeOnly.erase("group");
    EXPECT_TRUE(decodeServer("i-1", sizeOnly.dump(), reason)) << reason;
    sizeOnly["size"] = "16";
    EXPECT_FALSE(decodeServer("i-1", sizeOnly.dump(), reason));
}

// Guards against an unknown state of a group that is taken for "broken", by which one entry closes a healthy group.
TEST(RowDecodersTest, RejectsAnUnknownStateOfAGroup)
{
    std::string reason;
    auto entry = nlohmann::json::parse(server);
    for (const auto &[state, isUsable] :
         std::vector<std::pair<std::string, bool>>{{"open", true}, {"broken", true}, {"resting", false}, {"", false}}) {
        entry["group"]["Phase"] = state;
        const auto spec = decodeServer("i-1", entry.dump(), reason);
        EXPECT_EQ(spec.has_value(), isUsable) << state;
        if (spec) {
            EXPECT_EQ(spec->group->isOpen, state == "open");
        }
    }
}

// Guards against a configuration with numbers too large for the experts of an engine, for whose counts memory is taken,
// and against a division by their number. The rest of the configuration holds.
TEST(RowDecodersTest, LeavesOutExpertsBeyondWhatARankCanTell)
{
    const std::vector<std::pair<std::string, std::string>> odd = {{"\"Sets\":4", "\"Sets\":4000000000"},
                                                                  {"\"Experts\":64", "\"Experts\":4000000000.0"},
                                                                  {"\"Experts\":64", "\"Experts\":65536"},
                                                                  {"\"Experts\":64", "\"Experts\":0"},
                                                                  {"\"Experts\":64,", ""},
                                                                  {"\"Placements\":5", "\"Placements\":0"}};
    for (const auto &[from, to] : odd) {
        auto text = catalogue;
        text.replace(text.find(from), from.size(), to);
        std::string reason;
        const auto result = decodeCatalogue(text, reason);
        ASSERT_TRUE(result) << reason;
        ASSERT_TRUE(result->services.at(0).engine);
        EXPECT_EQ(result->services.at(0).engine->expertLayers, 0U) << to;
        EXPECT_EQ(result->services.at(0).engine->slots, 12U);
    }
}

/** The server's entry with one part replaced. */
std::string serverWith(const std::string &from, const std::string &to)
{
    auto text = server;
    text.replace(text.find(from), from.size(), to);
    return text;
}

// Guards against an entry of another writer that ends each process which reads it, or names a server that is none: very
// deeply nested, with numbers too large, or with an address that cannot be.
TEST(RowDecodersTest, RejectsOddEntries)
{
    const std::string nested(20000, '[');
    const std::string nestedObjects = [] {
        std::string text;
        for (int level = 0; level < 5000; ++level) {
            text += R"({"group":)";
        }
        return text + "1" + std::string(5000, '}');
    }();
    const std::vector<std::string> odd = {
        nested,
        nested + std::string(nested.size(), ']'),
        serverWith(R"({"Name":"g","epoch":2,"rank":3,"Phase":"open"})", nestedObjects),
        serverWith(R"("pool")", nested + std::string(nested.size(), ']')),
        serverWith(":12,", ":4294967296,"),
        serverWith(":12,", ":18446744073709551616,"),
        serverWith(":12,", ":1e19,"),
        serverWith(":12,", ":1e400,"),
        serverWith(":12,", ":12.5,"),
        serverWith(":12,", ":-12,"),
        serverWith(":250,", ":1e18,"),
        serverWith(":250,", ":9223372036854775808,"),
        serverWith(":250,", ":-1,"),
        serverWith(":17,", ":1e30,"),
        serverWith(":17,", ":\"17\","),
        serverWith("\"epoch\":2", "\"epoch\":1e300"),
        serverWith("\"rank\":3", "\"rank\":4294967299"),
        serverWith("\"rank\":3", "\"rank\":16"),
        serverWith(":16}", ":4294967312}"),
        serverWith(":16}", ":4000000000.0}"),
        serverWith(":16}", ":4097}"),
        serverWith("\"pool\"", "\"" + std::string(5000, 'p') + "\""),
        serverWith("\"a\"", "\"" + std::string(5000, 'a') + "\""),
        serverWith("\"g\"", "\"" + std::string(5000, 'g') + "\""),
        serverWith("10.0.0.1:80", "10.0.0.1:65536"),
        serverWith("10.0.0.1:80", "10.0.0.1:0"),
        serverWith("10.0.0.1:80", "10.0.0.1:-80"),
        serverWith("10.0.0.1:80", "10.0.0.1:"),
        serverWith("10.0.0.1:80", "10.0.0.256:80"),
        serverWith("10.0.0.1:80", "[::1]:80"),
        serverWith("10.0.0.1:80", "server:80"),
    };
    for (const auto &text : odd) {
        std::string reason;
        EXPECT_FALSE(decodeServer("i-1", text, reason)) << text.substr(0, 200);
        EXPECT_FALSE(reason.empty());
    }
    std::string reason;
    EXPECT_FALSE(decodeServer("i-1\r\nDeadline-Ms: 1", server, reason));
    EXPECT_FALSE(decodeServer("", server, reason));
    EXPECT_TRUE(decodeServer("i-1", serverWith(":12,", ":12.0,"), reason)) << reason;
}

// Guards against one bad row that hides the others of its answer.
TEST(StoreClientTest, LeavesOutOneBadRowOnly)
{
    EventLoop loop;
    const auto row = [](const std::string &key, const std::string &value) {
        return R"({"Table":"servers","part":"","Key":)" + key + R"(,"SchemaVersion":5,"Value":")" + encodeBase64(value)
            + "\"}";
    };
    const std::string body = R"({"Rows":[)" + row("\"a\"", server) + "," + row("7", server) + ",3,"
        + row("\"b\"", std::string(20000, '[')) + R"(,{"Key":"c","Value":7,"SchemaVersion":1e300},)"
        + row("\"d\"", server) + R"(],"HasMore":false,"SchemaVersion":9,"NowMs":1})";
    testing::ScriptedServer store(loop, [&body](testing::ScriptedServer::Connection &connection, const auto &, int) {
        connection.send("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    StoreClient client(loop, {.address = store.address()});
    std::vector<std::string> usable;
    client.readAll("servers", [&](const TableFeedReply &reply) {
        EXPECT_EQ(reply.status, TableFeedReply::Status::Ok);
        for (const auto &one : reply.rows) {
            std::string reason;
            if (decodeServer(one.key, one.value, reason)) {
                usable.push_back(one.key);
            }
        }
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(usable, (std::vector<std::string>{"a", "d"}));
}

/** Rank 0 of the group "g". */
RankEndpoint rankAt(const std::string &address)
{
    const ServiceId service("pool");
    return {.server = ServerId("i-1"), .service = service, .address = address, .group = groupIdOf(service, "g")};
}

// Guards against a report of a faulty server that ends the process which asked for it.
TEST(EngineClientTest, SurvivesADeeplyNestedReport)
{
    EventLoop loop;
    const auto body = R"({"group":)" + std::string(50000, '[') + std::string(50000, ']') + R"(,"step":1,"Mapping":0})";
    testing::ScriptedServer engine(loop, [&body](testing::ScriptedServer::Connection &connection, const auto &, int) {
        connection.send("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    EngineClient client(loop);
    bool isDone = false;
    client.api().readReport(rankAt(engine.address()), [&](const std::optional<EngineRankReport> &report) {
        EXPECT_FALSE(report);
        isDone = true;
        loop.stop();
    });
    loop.run();
    EXPECT_TRUE(isDone);
}

// Guards against a slow rank that is not heard, and against a pace of another type that hides the rest of a report.
TEST(EngineClientTest, ReadsThePaceOfARank)
{
    const std::vector<std::pair<std::string, double>> paces = {{R"(,"pace":12.0)", 12.0},
                                                               {R"(,"pace":1)", 1.0},
                                                               {"", 1.0},
                                                               {R"(,"pace":"slow")", 1.0},
                                                               {R"(,"pace":null)", 1.0}};
    for (const auto &[field, expected] : paces) {
        EventLoop loop;
        testing::ScriptedServer engine(loop, [field = field](auto &connection, const std::string &, int) {
            const auto body =
                R"({"group":{"Name":"g","epoch":3,"rank":0,"Phase":"open"},"step":7,"Mapping":0)" + field + "}";
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        });
        EngineClient client(loop);
        std::optional<EngineRankReport> result;
        client.api().readReport(rankAt(engine.address()), [&](const std::optional<EngineRankReport> &report) {
            result = report;
            loop.stop();
        });
        loop.run();
        ASSERT_TRUE(result) << field;
        EXPECT_EQ(result->pace, expected) << field;
    }
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
