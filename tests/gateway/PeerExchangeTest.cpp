#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <set>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

// Load pattern "hundreds of entries": what one entry sends must not grow with their number, and all of them are told.
TEST(PeerExchangeTest, TellsManyPeersInTurn)
{
    constexpr std::size_t fanOut = 3;
    constexpr int peers = 8;
    EventLoop loop;
    PeerExchange exchange(loop,
                          {.name = "self",
                           .incarnation = Incarnation(1),
                           .address = "127.0.0.1:0",
                           .interval = milliseconds(10),
                           .fanOut = fanOut},
                          {.ownLoad = [] { return std::vector<std::pair<ServerHash, std::uint32_t>>(); },
                           .bounds = [] { return std::vector<std::pair<ServiceHash, std::uint32_t>>(); },
                           .isMapHolder = [] { return false; },
                           .tableVersions = [] { return std::vector<TableVersion>(); },
                           .peerVersions = [](const auto &) {},
                           .changed = [] {}});
    ASSERT_TRUE(exchange.start());
    std::set<std::uint64_t> sequences;
    std::set<int> told;
    int messages = 0;
    std::vector<std::unique_ptr<DatagramSocket>> sockets;
    for (int peer = 0; peer < peers; ++peer) {
        sockets.push_back(std::make_unique<DatagramSocket>(
            loop, DatagramSocket::Callbacks{.received = [&, peer](std::string_view bytes, const std::string &) {
                const auto message = decodeLoadMessage(bytes, loop.now());
                ASSERT_TRUE(message);
                sequences.insert(message->sequence);
                told.insert(peer);
                ++messages;
            }}));
        ASSERT_TRUE(sockets.back()->bind("127.0.0.1:0"));
        exchange.addPeer("127.0.0.1:" + std::to_string(sockets.back()->port()));
    }
    // Peers that do not pass on what they hear are told in turn while the load changes.
    Timer changes(loop, [&] { exchange.markChanged(); });
    changes.startRepeating(milliseconds(20));
    Timer end(loop, [&] { loop.stop(); });
    end.startOnce(milliseconds(1500));
    loop.run();
    EXPECT_EQ(told.size(), static_cast<std::size_t>(peers));
    EXPECT_LE(messages, static_cast<int>(fanOut * sequences.size()));
}

} // namespace
} // namespace hornbeamlane
