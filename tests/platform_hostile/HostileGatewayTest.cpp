#include "hostile/HostileFixture.h"

#include "hornbeamlane_network/http1/Http1Server.h"
#include "platform/soak/SoakStore.h"

namespace hornbeamlane {
namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/** Small enough that the whole crowd together needs several times the bound. */
constexpr std::size_t crowdSize = 60;

constexpr std::size_t largestBody = 4 * megabyte;

/** Address of the test; its ports are not used by the soak. */
const std::string ip = "127.0.0.1";

const std::string catalogue = R"({"Version":1,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
 "HeaderTimeoutMs":3000,"IdleTimeoutMs":600000},"Routes":[
 {"Name":"look","Hostname":"hostile.example","Prefix":"/look/","Type":"idempotent","TimeoutMs":4000,
  "TargetLatencyMs":150,"Priority":1,"Service":"desk","MaxAttempts":2}],
 "Services":[{"Name":"desk","MaxConnections":400,"WarmupS":0,"WarmupPerS":0}],
 "Tenants":[{"Name":"glue","ApiKeys":["key"]}]})";

const std::string settings = R"({"NodeName":"entry","Zone":"a","Zones":{"a":"r"},"Ip":")" + ip + R"(",
 "Listen":{"Frontend":"127.0.0.1:28680","Ready":"127.0.0.1:28681"},"InternalPorts":[28682,28683],"SeedNodes":[],
 "Limits":{"MaxFds":1400,"MemoryMb":80},
 "Bounds":{"GraceS":6,"RetryBudgetRatio":0.5,"RetryAllowance":200,"BudgetWindowS":10},
 "Platform":{"Address":"127.0.0.1:28684"}})";

const std::string headOfLookup =
    "POST /look/one HTTP/1.1\r\nHost: hostile.example\r\nCredential: key\r\nAttempt-Id: h\r\nDeadline-Ms: 4000\r\n";

/**
    The gateway on a host of 80 MB before hostile connections.

    On the unchanged code, 60 connections with bodies within the limits made it grow by several times the bound.
*/
class HostileGatewayTest : public HostileFixture
{
protected:
    HostileGatewayTest()
        : random_(3)
        , store_(loop_, random_)
        , server_(loop_, {.limits = [] { return Http1Server::Limits{}; }}, &HostileGatewayTest::serve)
    {
        EXPECT_TRUE(store_.listen("127.0.0.1:28684", "127.0.0.1:28685"));
        EXPECT_TRUE(server_.listen("127.0.0.1:28686"));
        store_.put("op", "config", catalogue);
        store_.put(
            "servers", "i-1",
            R"({"Service":"desk","Address":"127.0.0.1:28686","Zone":"a","Slots":400,"Phase":"ready","Version":"v1","Sequence":1,)"
            R"("WarmupLeftMs":0,"born":1})");
        daemon_ = std::make_unique<DaemonProcess>(DAEMON, settings);
        port_ = 28680;
        address_ = "127.0.0.1:28680";
        ordinary_ = {.method = "GET",
                     .target = "/look/one",
                     .headers = {{"Host", "hostile.example"},
                                 {"Credential", "key"},
                                 {"Attempt-Id", "ordinary"},
                                 {"Deadline-Ms", "4000"}}};
    }

    static void serve(const std::shared_ptr<Http1Exchange> &exchange)
    {
        const auto *id = exchange->request().header("Attempt-Id");
        const bool isLarge = exchange->request().path() == "/look/large";
        exchange->reply(200, {{"Attempt-Id", id == nullptr ? "" : *id}, {"Server-Seal", "seal"}},
                        std::string(isLarge ? 2 * megabyte : 10, 'a'));
    }

    static constexpr Bounds bounds{.memoryGrowth = 48 * megabyte, .descriptors = 2 * crowdSize + 40};

    RandomSource random_;
    platform::SoakStore store_;
    Http1Server server_;
};

TEST_F(HostileGatewayTest, BodyWithinTheLimitsIsServedWhenQuiet)
{
    auto largest = ordinary_;
    const std::string body(largestBody, 'a');
    largest.method = "POST";
    largest.body = body;
    EXPECT_TRUE(isServed(largest)) << daemon_->output();
}

TEST_F(HostileGatewayTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
    check(crowdSize,
          {.head = headOfLookup + "Content-Length: 4000000\r\n\r\n",
           .unit = std::string(4096, 'a'),
           .unitBytes = 3999990},
          bounds);
}

TEST_F(HostileGatewayTest, OneChunkThatStopsShortOfItsEnd)
{
    check(crowdSize,
          {.head = headOfLookup + "Transfer-Encoding: chunked\r\n\r\n3d0900\r\n",
           .unit = std::string(4096, 'a'),
           .unitBytes = 3999990},
          bounds);
}

TEST_F(HostileGatewayTest, ChunksOfOneByteWithoutEnd)
{
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
        chunks += "1\r\na\r\n";
    }
    check(crowdSize,
          {.head = headOfLookup + "Transfer-Encoding: chunked\r\n\r\n", .unit = chunks, .unitBytes = 12000000}, bounds);
}

TEST_F(HostileGatewayTest, ChunksOfOneMegabyteWithoutEnd)
{
    check(crowdSize,
          {.head = headOfLookup + "Transfer-Encoding: chunked\r\n\r\n",
           .unit = "100000\r\n" + std::string(megabyte, 'a') + "\r\n",
           .unitBytes = 8 * (megabyte + 10)},
          bounds);
}

TEST_F(HostileGatewayTest, BodiesAnnouncedFarOverTheLimit)
{
    check(crowdSize,
          {.head = headOfLookup + "Content-Length: 10000000000\r\n\r\n",
           .unit = std::string(4096, 'a'),
           .unitBytes = 8 * megabyte},
          bounds);
}

TEST_F(HostileGatewayTest, HeadsThatDoNotEnd)
{
    check(crowdSize, {.head = headOfLookup, .unit = "A: " + std::string(1000, 'a') + "\r\n", .unitBytes = megabyte},
          bounds);
}

TEST_F(HostileGatewayTest, CallersThatDoNotReadTheirAnswers)
{
    check(crowdSize,
          {.head = "GET /look/large HTTP/1.1\r\nHost: hostile.example\r\nCredential: key\r\nAttempt-Id: h\r\n"
                   "Deadline-Ms: 4000\r\n\r\n"},
          bounds);
}

// More connections than the entry holds at once: on the unchanged code no other caller was accepted before they ended.
TEST_F(HostileGatewayTest, ConnectionsThatSendNothing)
{
    check(760, {}, {.memoryGrowth = 48 * megabyte, .descriptors = 800});
}

} // namespace
} // namespace hornbeamlane
