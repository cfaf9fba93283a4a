#include "gateway/GatewayFixture.h"

namespace hornbeamlane {
namespace {

/** Two servers, of which the first one asks for something in its answers. */
class ServerNoticeTest : public GatewayTest
{
protected:
    void SetUp() override
    {
        GatewayTest::SetUp();
        addServer(asking_, "s1");
        addServer(other_, "s2");
    }

    /** Sends requests of all kinds one after the other; all of them have to be served. */
    void sendRound()
    {
        for (const std::string path : {"/order/", "/look/", "/chat/"}) {
            expectStatus(send("POST", path), 200);
        }
    }

    /** Sends until the first server has got so many requests. */
    void sendUntilAsked(int requests)
    {
        for (int round = 0; round < 50 && asking_.requests() < requests; ++round) {
            sendRound();
        }
        ASSERT_GE(asking_.requests(), requests);
    }

    static std::string answerTo(const std::string &head, const std::string &more)
    {
        if (head.starts_with("POST /chat/")) {
            return streamHead(head, more) + chunk(event(1)) + "0\r\n\r\n";
        }
        return answer(head, 200, "done", more);
    }

    /** Header lines of the first server's answers. */
    std::string notice_;
    ScriptedServer asking_{loop_, [this](Connection &connection, const std::string &head, int) {
                               connection.send(answerTo(head, notice_));
                           }};
    ScriptedServer other_{
        loop_, [](Connection &connection, const std::string &head, int) { connection.send(answerTo(head, "")); }};
};

// Guards against requests for a server that has said in an answer that it leaves, and whose entry does not say so.
TEST_F(ServerNoticeTest, SendsNothingMoreToAServerThatLeaves)
{
    sendUntilAsked(1);
    notice_ = "X-Server-Leaving: 1\r\n";
    const int before = asking_.requests();
    sendUntilAsked(before + 1);
    EXPECT_EQ(asking_.requests(), before + 1);
    for (int round = 0; round < 10; ++round) {
        sendRound();
    }
    addServer(asking_, "s1");
    sendRound();
    EXPECT_EQ(asking_.requests(), before + 1);
    // Another start of it has said nothing yet.
    notice_.clear();
    gateway_->backends().update({.id = ServerId("s1"),
                                 .service = ServiceId("desk"),
                                 .address = asking_.address(),
                                 .slots = 8,
                                 .incarnation = 1},
                                loop_.now());
    sendUntilAsked(before + 2);
}

// Guards against a server that is left out because of a value that says nothing.
TEST_F(ServerNoticeTest, IgnoresOtherValuesOfTheHeader)
{
    for (const std::string value : {"0", "", "true", "-1", "1e9", "99999999999999999999"}) {
        notice_ = "X-Server-Leaving: " + value + "\r\n";
        sendUntilAsked(asking_.requests() + 3);
    }
}

} // namespace
} // namespace hornbeamlane
