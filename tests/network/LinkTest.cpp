#include "hornbeamlane_network/hornbeamlane_network.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

/** Ends a test that hangs, so that it fails by its expectations and not by the runner's limit. */
constexpr auto loopBound = 20s;

Link::Options optionsOf(const std::string &name)
{
    return {.hello = [name] { return Hello{.name = name}; }, .heartbeat = [] { return Heartbeat(); }};
}

class LinkTest : public ::testing::Test
{
protected:
    void runBounded()
    {
        Timer bound(loop_, [this] { loop_.stop(); });
        bound.startOnce(loopBound);
        loop_.run();
    }

    std::string listen(const Link::Callbacks &callbacks)
    {
        listener_ = std::make_unique<LinkListener>(loop_, [this, callbacks](std::intptr_t socket) {
            accepted_ = Link::accept(loop_, socket, optionsOf("server"), callbacks);
        });
        EXPECT_TRUE(listener_->listen("127.0.0.1:0"));
        return "127.0.0.1:" + std::to_string(listener_->port());
    }

    EventLoop loop_;
    RandomSource random_{1};
    std::unique_ptr<LinkListener> listener_;
    std::unique_ptr<Link> accepted_;
};

// Guards against a handshake that is started before the write handler is in place: the link then never opens.
TEST_F(LinkTest, ExchangesMessagesInOrder)
{
    std::vector<std::uint64_t> received;
    const auto address = listen({.received = [&](const Message &message) {
        if (const auto *data = std::get_if<ResponseData>(&message)) {
            received.push_back(data->sequence);
            if (received.size() == 100) {
                loop_.stop();
            }
        }
    }});
    std::unique_ptr<Link> client;
    client = Link::connect(loop_, address, optionsOf("client"), {.opened = [&](const Hello &hello) {
                               EXPECT_EQ(hello.name, "server");
                               for (std::uint64_t i = 0; i < 100; ++i) {
                                   client->send(ResponseData{.sequence = i, .bytes = std::string(2000, 'x')});
                               }
                           }});
    runBounded();
    ASSERT_EQ(received.size(), 100U);
    for (std::uint64_t i = 0; i < 100; ++i) {
        EXPECT_EQ(received[i], i);
    }
}

// Guards against a half-open peer that holds a link and its attempts for ever.
TEST_F(LinkTest, EndsWhenThePeerIsSilent)
{
    std::optional<LinkEnd> end;
    const auto address = listen({});
    auto options = optionsOf("client");
    options.heartbeatInterval = 10ms;
    options.silenceTimeout = 50ms;
    const auto client = Link::connect(loop_, address, options, {.closed = [&](LinkEnd reason, DecodeFailure) {
                                          end = reason;
                                          loop_.stop();
                                      }});
    runBounded();
    EXPECT_EQ(end, LinkEnd::PeerSilent);
}

// Guards against a peer that connects and never speaks, which would otherwise hold a socket for ever.
TEST_F(LinkTest, EndsWhenTheHandshakeNeverComes)
{
    std::optional<LinkEnd> end;
    std::vector<std::intptr_t> sockets;
    LinkListener mute(loop_, [&](std::intptr_t socket) { sockets.push_back(socket); });
    ASSERT_TRUE(mute.listen("127.0.0.1:0"));
    auto options = optionsOf("client");
    options.handshakeTimeout = 50ms;
    const auto client = Link::connect(loop_, "127.0.0.1:" + std::to_string(mute.port()), options,
                                      {.closed = [&](LinkEnd reason, DecodeFailure) {
                                          end = reason;
                                          loop_.stop();
                                      }});
    runBounded();
    EXPECT_EQ(end, LinkEnd::HandshakeTimedOut);
    for (const auto socket : sockets) {
        close(static_cast<int>(socket));
    }
}

// Guards against an agent that restarts and is never dialled again.
TEST_F(LinkTest, ConnectorDialsAgain)
{
    int opened = 0;
    const auto address = listen({});
    const LinkConnector connector(loop_, random_,
                                  {.address = address, .firstDelay = 1ms, .maxDelay = 5ms, .link = optionsOf("client")},
                                  {.opened =
                                       [&](const Hello &) {
                                           if (++opened == 3) {
                                               loop_.stop();
                                           }
                                           loop_.post([this] { accepted_.reset(); });
                                       },
                                   .received = [](const Message &) {},
                                   .closed = [](LinkEnd, DecodeFailure) {}});
    runBounded();
    EXPECT_EQ(opened, 3);
}

// Guards against a crash or a hang on an address that nobody can dial.
TEST_F(LinkTest, ReportsAnAddressThatCannotBeDialled)
{
    for (const auto *address : {"127.0.0.1:1", "nonsense", "300.1.1.1:80", ":", ""}) {
        std::optional<LinkEnd> end;
        const auto client =
            Link::connect(loop_, address, optionsOf("client"), {.closed = [&](LinkEnd reason, DecodeFailure) {
                              end = reason;
                              loop_.stop();
                          }});
        runBounded();
        EXPECT_EQ(end, LinkEnd::ConnectFailed) << address;
    }
}

} // namespace
} // namespace hornbeamlane
