#include "path/LocalPath.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::seconds;
using testing::LocalPath;

class PathTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(path_.runUntilReady());
    }

    /** Code and execution state of a refusal. */
    static std::pair<std::string, std::string> refusalOf(const LocalPath::Answer &answer)
    {
        const auto body = json::parse(answer.response.body, nullptr, false);
        if (!body.is_object() || !body.contains("error")) {
            return {answer.response.body, ""};
        }
        return {body["error"]["code"], body["error"]["execution"]};
    }

    LocalPath::Answer order(const std::string &key, const std::string &body = "{}")
    {
        auto headers = LocalPath::teamHeaders();
        headers.emplace_back("Idempotency-Key", key);
        return path_.call("POST", "/services/orders/orders", headers, body);
    }

    std::uint64_t executions(const std::string &key)
    {
        const auto answer = path_.callAt(path_.serviceAddress(), "GET", "/executions", {}, "");
        return json::parse(answer.response.body).value(key, std::uint64_t{0});
    }

    void setFaults(const std::string &address, const json &faults)
    {
        EXPECT_EQ(path_.callAt(address, "PUT", "/faults", {}, faults.dump()).response.status, 200);
    }

    /** A count that a stand-in's status tells. */
    std::uint64_t countAt(const std::string &address, const std::string &name)
    {
        const auto answer = path_.callAt(address, "GET", "/status?fresh=1", {}, "");
        return json::parse(answer.response.body).value(name, std::uint64_t{0});
    }

    /** Sends one request after the other for that time. */
    void keepCalling(const std::string &method, const std::string &target, const std::string &body, Duration time)
    {
        for (const auto end = path_.loop().now() + time; path_.loop().now() < end;) {
            path_.call(method, target, LocalPath::teamHeaders(), body);
        }
    }

    LocalPath path_{{.engine = {.coldSteps = 20, .stepTime = 1ms}}};
};

using Expected = std::pair<std::string, std::string>;

// Guards against input that is answered without a type, or that says "not run" where it may have run.
TEST_F(PathTest, RefusesBadInputWithItsType)
{
    struct Case
    {
        std::string method;
        std::string target;
        HttpHeaders headers;
        std::string body;
        std::string code;
    };
    const auto team = LocalPath::teamHeaders();
    const std::string chat = "/v1/chat/completions";
    const std::vector<Case> cases = {
        {"POST", chat, team, "{", "malformed_request"},
        {"POST", chat, team, "[]", "malformed_request"},
        {"POST", chat, team, R"({"model": "draft"})", "malformed_request"},
        {"POST", chat, team, R"({"model": "draft", "messages": [3]})", "malformed_request"},
        {"POST", chat, team, R"({"model": "draft", "stream": 1, "messages": [{"role": "user", "content": ""}]})",
         "malformed_request"},
        {"POST", chat, team, R"({"model": "none", "messages": [{"role": "user", "content": ""}]})", "unknown_model"},
        {"POST", chat, {}, "{}", "unknown_team"},
        {"POST", chat, {{"X-Hornbeamlane-Team", "nobody"}}, "{}", "unknown_team"},
        {"GET", chat, team, "", "method_not_allowed"},
        {"GET", "/nothing", team, "", "unknown_service"},
        {"POST", "/services/none/x", team, "", "unknown_service"},
        {"DELETE", "/services/orders/orders", team, "", "method_not_allowed"},
        {"POST", "/services/orders/orders", team, "{}", "missing_idempotency_key"},
    };
    for (const auto &item : cases) {
        const auto answer = path_.call(item.method, item.target, item.headers, item.body);
        EXPECT_EQ(refusalOf(answer), Expected(item.code, "not_run")) << item.method << item.target << item.body;
        EXPECT_GE(answer.response.status, 400);
    }
}

// Guards against bodies and headers that take memory without a bound, and against a library's page as the answer.
TEST_F(PathTest, RefusesOversizedRequests)
{
    const auto body = path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), std::string(3 << 20, 'x'));
    EXPECT_EQ(body.response.status, 413);
    EXPECT_EQ(refusalOf(body), Expected("request_too_large", "not_run"));
    auto headers = LocalPath::teamHeaders();
    headers.emplace_back("X-Large", std::string(100'000, 'x'));
    const auto large = path_.call("POST", "/v1/chat/completions", headers, "{}");
    EXPECT_EQ(refusalOf(large), Expected("request_too_large", "not_run"));
}

// Guards against an answer that is cut, mixed or out of order.
TEST_F(PathTest, StreamsTheWholeAnswer)
{
    const auto answer =
        path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), LocalPath::chatBody(300, true));
    EXPECT_EQ(answer.end, HttpCallEnd::Complete);
    std::size_t at = 0;
    for (int i = 0; i < 300; ++i) {
        at = answer.response.body.find("\"w" + std::to_string(i) + " \"", at);
        ASSERT_NE(at, std::string::npos) << i;
    }
    EXPECT_NE(answer.response.body.find("[DONE]", at), std::string::npos);
}

// Guards against a stream that stops inside an event and reaches its caller as a whole one.
TEST_F(PathTest, DoesNotPassOffAStreamThatEndsInsideAnEvent)
{
    setFaults(path_.engineAddress(), {{"endInsideEvent", 100}});
    const auto answer =
        path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), LocalPath::chatBody(20, true));
    EXPECT_NE(answer.end, HttpCallEnd::Complete);
    EXPECT_EQ(answer.response.body.find("{\"cho\""), std::string::npos);
    EXPECT_EQ(answer.response.body.find("data: {\"chodata"), std::string::npos);
}

// Guards against memory that an engine takes by an event without end, and against an engine that goes on with it.
TEST_F(PathTest, EndsAStreamWhoseEventHasNoEnd)
{
    setFaults(path_.engineAddress(), {{"endlessEvent", true}});
    const auto started = path_.loop().now();
    const auto answer =
        path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), LocalPath::chatBody(100'000, true));
    EXPECT_NE(answer.end, HttpCallEnd::Complete);
    EXPECT_LT(answer.response.body.size(), 100'000U);
    // Well before the deadline of its class.
    EXPECT_LT(path_.loop().now() - started, 5s);
    setFaults(path_.engineAddress(), {{"endlessEvent", false}});
    path_.runUntil([] { return false; }, 200ms);
    const auto status = path_.callAt(path_.engineAddress(), "GET", "/status?fresh=1", {}, "");
    EXPECT_EQ(json::parse(status.response.body)["running"].get<int>(), 0);
}

// Guards against an order that runs twice when its caller sends it again, and against a changed order under its key.
TEST_F(PathTest, RunsAnOrderOnce)
{
    const auto first = order("k1");
    EXPECT_EQ(first.response.status, 201);
    const auto again = order("k1");
    EXPECT_EQ(again.response.body, first.response.body);
    EXPECT_EQ(executions("k1"), 1U);
    EXPECT_EQ(refusalOf(order("k1", R"({"other": 1})")).first, "idempotency_key_reused");
    EXPECT_EQ(executions("k1"), 1U);
}

// Guards against a second run after the service has run the order and its answer was lost.
TEST_F(PathTest, NeverRepeatsAnOrderWhoseAnswerWasLost)
{
    setFaults(path_.serviceAddress(), {{"dropAnswers", 1}});
    EXPECT_EQ(refusalOf(order("k2")), Expected("outcome_unknown", "unknown"));
    EXPECT_EQ(refusalOf(order("k2")), Expected("outcome_unknown", "unknown"));
    EXPECT_EQ(executions("k2"), 1U);
}

// Guards against a doubled or lost order when the table applies a write and its reply is lost.
TEST_F(PathTest, SurvivesALostReplyOfTheTable)
{
    setFaults(path_.platformAddress(), {{"loseReplies", 1}});
    EXPECT_EQ(order("k3").response.status, 201);
    EXPECT_EQ(executions("k3"), 1U);
}

// Guards against an order that runs without its claim, and against requests that need no claim being refused with it.
TEST_F(PathTest, RefusesKeyedOrdersWhileTheTableIsDown)
{
    setFaults(path_.platformAddress(), {{"down", true}});
    const auto refused = refusalOf(order("k4"));
    EXPECT_EQ(refused.first, "claim_store_unavailable");
    EXPECT_EQ(executions("k4"), 0U);
    EXPECT_EQ(path_.call("GET", "/services/orders/stock", LocalPath::teamHeaders(), "").response.status, 200);
    EXPECT_EQ(path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), LocalPath::chatBody(2, false))
                  .response.status,
              200);
    setFaults(path_.platformAddress(), {{"down", false}});
    EXPECT_EQ(order("k4").response.status, 201);
    EXPECT_EQ(executions("k4"), 1U);
}

// Guards against work that goes on at the engine after its caller has hung up.
TEST_F(PathTest, CancelsAtTheEngineWhenTheCallerHangsUp)
{
    const auto running = [this] {
        const auto answer = path_.callAt(path_.engineAddress(), "GET", "/status?fresh=1", {}, "");
        return json::parse(answer.response.body)["running"].get<int>();
    };
    {
        bool hasData = false;
        const HttpCall call(path_.loop(),
                            {.address = path_.entryAddress(),
                             .method = "POST",
                             .target = "/v1/chat/completions",
                             .headers = LocalPath::teamHeaders(),
                             .body = LocalPath::chatBody(100'000, true)},
                            {.head = {}, .data = [&](std::string_view) { hasData = true; }, .end = {}});
        ASSERT_TRUE(path_.runUntil([&] { return hasData; }));
        EXPECT_EQ(running(), 1);
    }
    int left = 1;
    for (int i = 0; i < 100 && left > 0; ++i) {
        path_.runUntil([] { return false; }, 10ms);
        left = running();
    }
    EXPECT_EQ(left, 0);
}

// Guards against one caller's requests that crash the engine again and again.
TEST_F(PathTest, QuarantinesARequestThatCrashesServers)
{
    const auto body = LocalPath::chatBody(4, false, "crash-the-engine");
    std::string code;
    for (int i = 0; i < 6 && code != "quarantined"; ++i) {
        code = refusalOf(path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), body)).first;
        path_.runUntil([] { return false; }, 100ms);
    }
    ASSERT_TRUE(path_.runUntilReady());
}

// Guards against requests of one kind that crash the engine again and again: no two alike, they share one message.
TEST_F(PathTest, QuarantinesAMessageThatCrashesServers)
{
    const auto send = [this](const std::string &shared, int number) {
        const json body = {{"model", "draft"},
                           {"max_tokens", 4},
                           {"messages",
                            {{{"role", "system"}, {"content", shared}},
                             {{"role", "user"}, {"content", "question " + std::to_string(number)}}}}};
        const auto answer = path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), body.dump());
        path_.runUntil([] { return false; }, 100ms);
        return answer.response.status == 200 ? "served" : refusalOf(answer).first;
    };
    const auto falls = [this] {
        const auto answer = path_.callAt(path_.engineAddress(), "GET", "/status?fresh=1", {}, "");
        return json::parse(answer.response.body)["falls"].get<int>();
    };
    constexpr int requests = 8;
    std::string last;
    for (int i = 0; i < requests; ++i) {
        last = send("crash-the-engine", i);
    }
    EXPECT_EQ(last, "quarantined");
    EXPECT_LE(falls(), 3);
    ASSERT_TRUE(path_.runUntilReady());
    EXPECT_EQ(send("a sound message", requests), "served");
}

// Guards against an error of an engine that passes for proof that a message is sound: it has not run the chat.
TEST_F(PathTest, DoesNotClearAMessageByAnError)
{
    constexpr int requests = 10;
    std::string last;
    for (int i = 0; i < requests; ++i) {
        setFaults(path_.engineAddress(), {{"errorStatus", i % 2 == 0 ? 0 : 500}});
        const json body = {{"model", "draft"},
                           {"max_tokens", 4},
                           {"messages",
                            {{{"role", "system"}, {"content", "crash-the-engine"}},
                             {{"role", "user"}, {"content", "question " + std::to_string(i)}}}}};
        const auto answer = path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), body.dump());
        path_.runUntil([] { return false; }, 100ms);
        last = answer.response.status == 500 ? "failed" : refusalOf(answer).first;
    }
    EXPECT_EQ(last, "quarantined");
    EXPECT_LE(countAt(path_.engineAddress(), "falls"), 3);
}

// Guards against chats of one team that crash engine after engine and share no message: all they share is the team.
TEST_F(PathTest, QuarantinesATeamWhoseChatsCrashServers)
{
    constexpr int requests = 8;
    std::string last;
    for (int i = 0; i < requests; ++i) {
        const auto body = LocalPath::chatBody(4, false, "crash-the-engine " + std::to_string(i));
        const auto answer = path_.call("POST", "/v1/chat/completions", LocalPath::teamHeaders(), body);
        path_.runUntil([] { return false; }, 100ms);
        last = answer.response.status == 200 ? "served" : refusalOf(answer).first;
    }
    EXPECT_EQ(last, "quarantined");
    EXPECT_LE(countAt(path_.engineAddress(), "falls"), 3);
}

// Guards against an engine that names how many requests a second it takes, and gets more from its agent.
TEST_F(PathTest, KeepsALimitThatAnEngineNames)
{
    constexpr double limit = 10;
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    constexpr seconds time = 2s;
    const auto chat = LocalPath::chatBody(1, true);
    setFaults(path_.engineAddress(), {{"rateLimit", limit}});
    path_.runUntil([] { return false; }, 100ms);
    const auto before = countAt(path_.engineAddress(), "chats");
    keepCalling("POST", "/v1/chat/completions", chat, time);
    const auto limited = static_cast<double>(countAt(path_.engineAddress(), "chats") - before);
    EXPECT_LE(limited, limit * tolerance * time.count() + slack);
    EXPECT_GE(limited, limit * time.count() * 0.8);
    setFaults(path_.engineAddress(), json::object());
    path_.runUntil([] { return false; }, 100ms);
    const auto lifted = countAt(path_.engineAddress(), "chats");
    keepCalling("POST", "/v1/chat/completions", chat, 1s);
    EXPECT_GE(static_cast<double>(countAt(path_.engineAddress(), "chats") - lifted), limit * 3);
}

// Guards against the same at a plain service, whose answers come in one piece.
TEST_F(PathTest, KeepsALimitThatAServiceNames)
{
    constexpr double limit = 10;
    constexpr seconds time = 2s;
    setFaults(path_.serviceAddress(), {{"rateLimit", limit}});
    path_.runUntil([] { return false; }, 100ms);
    const auto before = countAt(path_.serviceAddress(), "lookups");
    keepCalling("GET", "/services/orders/stock", "", time);
    const auto limited = static_cast<double>(countAt(path_.serviceAddress(), "lookups") - before);
    EXPECT_LE(limited, limit * 1.5 * time.count() + 5);
    EXPECT_GE(limited, limit * time.count() * 0.8);
}

} // namespace
} // namespace hornbeamlane
