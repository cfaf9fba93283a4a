#include "gateway/GatewayFixture.h"
#include "hornbeamlane_gateway/request/RequestHeaders.h"

#include <algorithm>

namespace hornbeamlane {
namespace {

/** A gateway whose teams and routes have priorities. */
class RequestPriorityTest : public GatewayTest
{
protected:
    static constexpr std::uint32_t hugePriority = 4000000000U;

    void SetUp() override
    {
        GatewayTest::SetUp();
        DispatchCatalogue catalogue{.version = CatalogueVersion(2)};
        catalogue.routes = {withPriority(route("order", "/order/", RequestKind::NonIdempotent, "plain", 1), 3),
                            withPriority(route("chat", "/chat/", RequestKind::Idempotent, "desk", 1), 7),
                            withPriority(route("odd", "/odd/", RequestKind::Idempotent, "desk", 1), hugePriority)};
        catalogue.services = {{.name = ServiceId("desk"), .engine = EngineModel{.slots = 8}},
                              {.name = ServiceId("plain")}};
        catalogue.teams = {{TeamSpec{.name = TeamId("urgent"), .keys = {"urgent"}, .priority = 0},
                            TeamSpec{.name = TeamId("odd"), .keys = {"odd"}, .priority = hugePriority},
                            TeamSpec{.name = TeamId("other"), .keys = {"other"}}}};
        gateway_->applyCatalogue(std::move(catalogue));
    }

    static RouteSpec withPriority(RouteSpec route, std::uint32_t priority)
    {
        route.priority = priority;
        return route;
    }

    /** The header of a request as the server of the service gets it. */
    std::string priorityAt(const std::string &service, const std::string &target, const std::string &key)
    {
        std::string seen;
        ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
            seen = head;
            connection.send(answer(head, 200, "done"));
        });
        gateway_->backends().update({.id = ServerId("s"),
                                     .service = ServiceId(service),
                                     .address = server.address(),
                                     .dataCentre = DataCentreId("here"),
                                     .slots = 8},
                                    loop_.now());
        expectStatus(send("POST", target, key), 200);
        return headerOf(seen, "X-Request-Priority");
    }
};

// Guards against a route's priority that overrides the team's.
TEST_F(RequestPriorityTest, TellsEnginesThePriorityOfTheTeamBeforeThatOfTheRoute)
{
    EXPECT_EQ(priorityAt("desk", "/chat/", "urgent"), "0");
    EXPECT_EQ(priorityAt("desk", "/chat/", "other"), "7");
}

// Guards against priorities that engines do not know.
TEST_F(RequestPriorityTest, BoundsHugePriorities)
{
    EXPECT_EQ(priorityAt("desk", "/odd/", "other"), "9");
    EXPECT_EQ(priorityAt("desk", "/chat/", "odd"), "9");
}

// Guards against a header for servers without an engine, and against one that a caller makes up.
TEST_F(RequestPriorityTest, TellsNothingToOtherServers)
{
    EXPECT_EQ(priorityAt("plain", "/order/", "urgent"), "");
    const HttpHeaders made{{"X-Request-Priority", "0"}, {"Accept", "*/*"}};
    EXPECT_EQ(callerHeaders(made, GatewayHeaders()), (HttpHeaders{{"Accept", "*/*"}}));
}

/** A server with eight places that takes a fifth of a second for each request, so 40 requests a second. */
class OverShareTest : public RequestPriorityTest
{
protected:
    void SetUp() override
    {
        RequestPriorityTest::SetUp();
        addServer(server_, "s1");
    }

    void answerLater(Connection &connection, const std::string &head)
    {
        auto &timer = timers_.emplace_back(
            std::make_unique<Timer>(loop_, [&connection, head] { connection.send(answer(head, 200, "done")); }));
        timer->startOnce(milliseconds(200));
    }

    std::vector<std::unique_ptr<Timer>> timers_;
    ScriptedServer server_{
        loop_, [this](Connection &connection, const std::string &head, int) { answerLater(connection, head); }};
};

// Guards against a shortage that is not noticed on arrival, and against a time to come back that callers do not wait.
TEST_F(OverShareTest, RejectsOnArrivalWithATimeThatCallersWait)
{
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (int i = 0; i < 200; ++i) {
        answers.push_back(send("POST", "/chat/", "other"));
        runFor(milliseconds(8));
    }
    runUntil([&] {
        return std::all_of(answers.begin(), answers.end(), [](const auto &one) { return one->end.has_value(); });
    });
    int rejected = 0;
    for (const auto &one : answers) {
        if (one->body != "over_share\n") {
            continue;
        }
        ++rejected;
        EXPECT_EQ(one->head.status, 503);
        ASSERT_NE(one->head.header("Retry-After"), nullptr);
        const auto seconds = std::stod(*one->head.header("Retry-After"));
        EXPECT_GT(seconds, 0);
        // The route's timeout is 1.5 s.
        EXPECT_LE(seconds, 0.51);
    }
    EXPECT_GT(rejected, 0);
}

} // namespace
} // namespace hornbeamlane
