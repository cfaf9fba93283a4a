#include "gateway/GatewayFixture.h"

namespace hornbeamlane {
namespace {

/** Answer of a program that is no server of the platform: it knows neither the id of a request nor a signature. */
std::string foreignAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** Another program at the address that an entry names, beside a server of the platform. */
class UnprovenAnswerTest : public GatewayTest
{
protected:
    static constexpr const char *foreignBody = "no such page";

    void SetUp() override
    {
        GatewayTest::SetUp();
        addServer(foreign_, "foreign");
    }

    int status_ = 404;
    milliseconds answerTime_{0};
    Connection *asked_ = nullptr;
    Timer answer_{loop_, [this] { asked_->send(foreignAnswer(status_, foreignBody)); }};
    ScriptedServer foreign_{loop_, [this](Connection &connection, const std::string &, int) {
                                asked_ = &connection;
                                answer_.startOnce(answerTime_);
                            }};
};

// Guards against another program's response that a caller takes for the outcome of its order. The order may have run,
// so it goes to no other server.
TEST_F(UnprovenAnswerTest, AnswersAnOrderWithBadGateway)
{
    for (const int status : {200, 204, 301, 400, 401, 404, 409, 500, 501, 599}) {
        status_ = status;
        const auto result = send("POST", "/order/");
        expectStatus(result, 502);
        EXPECT_EQ(result->body.find(foreignBody), std::string::npos) << status;
    }
}

// Guards against a lookup that ends with another program's response although a server of the platform could answer it.
TEST_F(UnprovenAnswerTest, RepeatsALookupAtAnotherServer)
{
    for (const int status : {200, 301, 404, 500}) {
        status_ = status;
        const auto name = std::to_string(status);
        gateway_->backends().retainOnly({}, std::nullopt);
        addServer(foreign_, "foreign" + name);
        const auto asked = foreign_.requests();
        answerTime_ = milliseconds(20);
        const auto result = send("GET", "/look/");
        runUntil([&] { return foreign_.requests() == asked + 1; });
        ScriptedServer second(loop_, [](Connection &connection, const std::string &head, int) {
            connection.send(answer(head, 200, "second"));
        });
        addServer(second, "second" + name);
        expectStatus(result, 200);
        EXPECT_EQ(result->body, "second") << status;
        EXPECT_EQ(foreign_.requests(), asked + 1);
    }
}

// Guards against a stream request that ends with another program's refusal.
TEST_F(UnprovenAnswerTest, ForwardsNoRefusalOfAStream)
{
    const auto result = send("GET", "/chat/");
    expectStatus(result, 502);
    EXPECT_EQ(result->body.find(foreignBody), std::string::npos);
}

// Guards against a program that answers at once, counts as serving, and so draws more requests than the servers.
TEST_F(UnprovenAnswerTest, DoesNotCountAsServed)
{
    expectStatus(send("POST", "/order/"), 502);
    const auto *backend = gateway_->backends().find(ServerId("foreign"));
    ASSERT_NE(backend, nullptr);
    EXPECT_GT(backend->failureShare, 0);
}

// Guards against the loss of a server's own answers: either of the two proofs is enough, and a server need not sign a
// refusal.
TEST_F(UnprovenAnswerTest, ForwardsWhatHasAnIdOrASignature)
{
    gateway_->backends().retainOnly({}, std::nullopt);
    std::string proof;
    ScriptedServer server(loop_, [&proof](Connection &connection, const std::string &head, int) {
        const auto id = proof == "id" ? "X-Attempt-Id: " + headerOf(head, "X-Attempt-Id") : "X-Server-Signature: s";
        connection.send("HTTP/1.1 404 X\r\n" + id + "\r\nContent-Length: 4\r\n\r\nnone");
    });
    addServer(server, "s1");
    for (const auto &one : {"id", "signature"}) {
        proof = one;
        const auto result = send("POST", "/order/");
        expectStatus(result, 404);
        EXPECT_EQ(result->body, "none");
    }
}

} // namespace
} // namespace hornbeamlane
