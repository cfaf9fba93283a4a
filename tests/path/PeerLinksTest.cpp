#include "hornbeamlane_entry/hornbeamlane_entry.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

// Guards against entries of one data centre that are cut off together and take each other for outside contact.
TEST(PeerLinks, TellsPeersOfOtherDataCentres)
{
    EventLoop loop;
    RandomSource random(1);
    int linked = 0;
    const auto makePeer = [&](const char *name, const char *dataCentre) {
        const Hello hello{.name = name, .dataCentre = DataCentreId(dataCentre)};
        const auto countUp = [&](const std::string &, const Hello &) {
            if (++linked == 4) {
                loop.stop();
            }
        };
        return std::make_unique<PeerLinks>(
            loop, random,
            PeerLinks::Options{.name = EntryHostId(name),
                               .dataCentre = DataCentreId(dataCentre),
                               .link = {.hello = [hello]() -> Hello { return Hello(hello); },
                                        .heartbeat = [] { return Heartbeat(); }}},
            PeerLinks::Callbacks{.up = countUp,
                                 .down = [](const std::string &, Incarnation) {},
                                 .received = [](const std::string &, const Message &) {}});
    };
    const auto own = makePeer("a", "north");
    const auto neighbour = makePeer("b", "north");
    const auto distant = makePeer("c", "south");
    ASSERT_TRUE(neighbour->listen("127.0.0.1:0"));
    ASSERT_TRUE(distant->listen("127.0.0.1:0"));
    const auto record = [](const char *name, const char *dataCentre, std::uint16_t port) {
        return HostRecord{.name = HostId(name),
                          .dataCentre = DataCentreId(dataCentre),
                          .address = "127.0.0.1:" + std::to_string(port)};
    };
    HostView hosts;
    hosts.update({record("b", "north", neighbour->port()), record("c", "south", distant->port())}, loop.now());
    own->updateHosts(hosts);
    Timer bound(loop, [&loop] { loop.stop(); });
    bound.startOnce(20s);
    loop.run();
    ASSERT_EQ(linked, 4);
    EXPECT_FALSE(own->isInOtherDataCentre("b"));
    EXPECT_TRUE(own->isInOtherDataCentre("c"));
    EXPECT_TRUE(distant->isInOtherDataCentre("a"));
    EXPECT_FALSE(own->isInOtherDataCentre("nobody"));
}

} // namespace
} // namespace hornbeamlane
