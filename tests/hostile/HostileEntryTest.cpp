#include "hostile/HostileFixture.h"

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "standins/PlatformStandIn.h"

namespace hornbeamlane {
namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/** The entry takes bodies of 512 kB, so a larger crowd than at the gateway is needed for the same sum. */
constexpr std::size_t crowdSize = 200;

constexpr std::uint16_t entryPort = 28690;

const std::string headOfCall =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: hostile.example\r\nX-Hornbeamlane-Team: glue\r\n";

/** The stand-alone entry before hostile connections. */
class HostileEntryTest : public HostileFixture
{
protected:
    HostileEntryTest()
        : random_(3)
        , platform_(loop_, random_)
    {
        EXPECT_TRUE(platform_.listen("127.0.0.1", 0));
        daemon_ = std::make_unique<DaemonProcess>(DAEMON, settings());
        port_ = entryPort;
        address_ = "127.0.0.1:" + std::to_string(entryPort);
        ordinary_ = {.method = "GET", .target = "/healthz", .headers = {{"Host", "hostile.example"}}};
    }

    std::string settings() const
    {
        return R"({"name":"entry","dataCentre":"a","httpAddress":"127.0.0.1:)" + std::to_string(entryPort)
            + R"(","platformAddress":"127.0.0.1:)" + std::to_string(platform_.port())
            + R"(","hostMemoryMegabytes":80})";
    }

    static constexpr Bounds bounds{.memoryGrowth = 48 * megabyte, .descriptors = crowdSize + 60};

    RandomSource random_;
    testing::PlatformStandIn platform_;
};

TEST_F(HostileEntryTest, AnnouncedBodiesThatStopShortOfTheirEnd)
{
    check(crowdSize,
          {.head = headOfCall + "Content-Length: 500000\r\n\r\n", .unit = std::string(4096, 'a'), .unitBytes = 499990},
          bounds);
}

TEST_F(HostileEntryTest, OneChunkThatStopsShortOfItsEnd)
{
    check(crowdSize,
          {.head = headOfCall + "Transfer-Encoding: chunked\r\n\r\n7a120\r\n",
           .unit = std::string(4096, 'a'),
           .unitBytes = 499990},
          bounds);
}

TEST_F(HostileEntryTest, ChunksOfOneByteWithoutEnd)
{
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
        chunks += "1\r\na\r\n";
    }
    check(crowdSize,
          {.head = headOfCall + "Transfer-Encoding: chunked\r\n\r\n", .unit = chunks, .unitBytes = 3 * megabyte},
          bounds);
}

TEST_F(HostileEntryTest, ChunksOfOneMegabyteWithoutEnd)
{
    check(crowdSize,
          {.head = headOfCall + "Transfer-Encoding: chunked\r\n\r\n",
           .unit = "100000\r\n" + std::string(megabyte, 'a') + "\r\n",
           .unitBytes = 4 * (megabyte + 10)},
          bounds);
}

TEST_F(HostileEntryTest, BodiesAnnouncedFarOverTheLimit)
{
    check(crowdSize,
          {.head = headOfCall + "Content-Length: 10000000000\r\n\r\n",
           .unit = std::string(4096, 'a'),
           .unitBytes = 4 * megabyte},
          bounds);
}

TEST_F(HostileEntryTest, HeadsThatDoNotEnd)
{
    check(crowdSize, {.head = headOfCall, .unit = "A: " + std::string(1000, 'a') + "\r\n", .unitBytes = megabyte},
          bounds);
}

} // namespace
} // namespace hornbeamlane
