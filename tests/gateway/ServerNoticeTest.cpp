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

    /** What the first server's answers hold. */
    std::string answerOfAsking(const std::string &head) const
    {
        const auto mark = isMarked_ ? std::string("X-Not-Run: 1\r\n") : std::string();
        return isRefusing_ ? answer(head, 503, "", notice_ + mark) : answerTo(head, notice_);
    }

    /** Header lines of the first server's answers. */
    std::string notice_;
    /** It turns all requests away, with the mark that it has not run them or without. */
    bool isRefusing_ = false;
    bool isMarked_ = true;
    std::uint64_t incarnation_ = 0;
    ScriptedServer asking_{
        loop_, [this](Connection &connection, const std::string &head, int) { connection.send(answerOfAsking(head)); }};
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

// Guards against requests that a server turned away with a time to come back gets within that time, whichever it is.
TEST_F(ServerNoticeTest, SendsNothingToAServerThatAskedForAPause)
{
    sendUntilAsked(1);
    isRefusing_ = true;
    notice_ = "Retry-After: 0.8\r\n";
    const int before = asking_.requests();
    sendUntilAsked(before + 1);
    const auto asked = loop_.now();
    isRefusing_ = false;
    notice_.clear();
    while (loop_.now() - asked < milliseconds(700)) {
        sendRound();
    }
    EXPECT_EQ(asking_.requests(), before + 1);
    runFor(milliseconds(150));
    sendUntilAsked(before + 2);
}

// Guards against values that stop a server for ever or say nothing: a time of zero, below it or no number at all.
TEST_F(ServerNoticeTest, IgnoresPausesThatCannotBe)
{
    isRefusing_ = true;
    for (const std::string value : {"0", "-5", "", "soon", "nan", "inf", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        notice_ = "Retry-After: " + value + "\r\n";
        sendUntilAsked(asking_.requests() + 2);
    }
}

// Guards against a time beyond what a clock can hold, and against one that outlasts the start of the server that asked.
TEST_F(ServerNoticeTest, HoldsALongPauseForOneStartOnly)
{
    isRefusing_ = true;
    for (const std::string value : {"1000", "99999999999", "999999999999999999999999999999"}) {
        notice_ = "Retry-After: " + value + "\r\n";
        const int before = asking_.requests();
        sendUntilAsked(before + 1);
        for (int round = 0; round < 5; ++round) {
            sendRound();
        }
        EXPECT_EQ(asking_.requests(), before + 1) << value;
        ++incarnation_;
        gateway_->backends().update({.id = ServerId("s1"),
                                     .service = ServiceId("desk"),
                                     .address = asking_.address(),
                                     .slots = 8,
                                     .incarnation = incarnation_},
                                    loop_.now());
    }
}

// Guards against callers that wait for servers which all have asked for a pause, or are told to come back before its
// end.
TEST_F(ServerNoticeTest, RefusesAtOnceWhileAllServersPause)
{
    gateway_->backends().remove(ServerId("s2"), std::nullopt);
    isRefusing_ = true;
    notice_ = "Retry-After: 5\r\n";
    for (int request = 0; request < 4; ++request) {
        const auto sentAt = loop_.now();
        const auto result = send("POST", "/order/");
        expectStatus(result, 503);
        EXPECT_LT(loop_.now() - sentAt, milliseconds(100));
        const auto *retryAfter = result->head.header("Retry-After");
        ASSERT_NE(retryAfter, nullptr);
        EXPECT_GE(std::stod(*retryAfter), 4.5);
    }
    EXPECT_EQ(asking_.requests(), 1);
}

// Guards against a pause that counts for nothing because the refusal lacks its mark, so that the request may have run.
TEST_F(ServerNoticeTest, TakesAPauseFromARefusalWithoutItsMark)
{
    gateway_->backends().remove(ServerId("s2"), std::nullopt);
    isRefusing_ = true;
    isMarked_ = false;
    notice_ = "Retry-After: 5\r\n";
    expectStatus(send("POST", "/order/"), 502);
    expectStatus(send("POST", "/order/"), 503);
    EXPECT_EQ(asking_.requests(), 1);
}

} // namespace
} // namespace hornbeamlane
