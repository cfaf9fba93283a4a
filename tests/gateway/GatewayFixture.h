#pragma once

#include "gateway/GatewayMessages.h"
#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** One gateway with the routes /order/, /look/ and /chat/ to servers that a test adds, and callers of it. */
class GatewayTest : public ::testing::Test
{
protected:
    using milliseconds = std::chrono::milliseconds;
    using Connection = ScriptedServer::Connection;

    static constexpr milliseconds longestTest{5000};

    void SetUp() override
    {
        GatewaySettings settings{.name = "entry", .dataCentre = DataCentreId("here")};
        settings.callerAddress = "127.0.0.1:0";
        settings.readyAddress = "127.0.0.1:0";
        settings.peerAddress = "127.0.0.1:0";
        settings.retryRatio = 1;
        settings.retryAllowance = 100;
        settings.shutdownBound = shutdownBound_;
        settings.stopNoticeTime = stopNoticeTime_;
        gateway_ = std::make_unique<Gateway>(loop_, random_, settings,
                                             GatewayHooks{.isMapHolder = [] { return false; },
                                                          .tableVersions = [] { return std::vector<TableVersion>(); },
                                                          .peerVersions = [](const auto &) {}});
        ASSERT_TRUE(gateway_->start());
        DispatchCatalogue catalogue{.version = CatalogueVersion(1)};
        catalogue.routes = {route("order", "/order/", RequestKind::NonIdempotent, "desk", 1),
                            route("look", "/look/", RequestKind::Idempotent, "desk", 2),
                            route("chat", "/chat/", RequestKind::Stream, "desk", 2)};
        catalogue.routes.back().isResumable = true;
        catalogue.services = {{.name = ServiceId("desk")}};
        catalogue.teams = {{TeamSpec{.name = TeamId("glue"), .keys = {"key"}}}};
        gateway_->applyCatalogue(std::move(catalogue));
    }

    RouteSpec route(const std::string &name, const std::string &prefix, RequestKind kind, const std::string &service,
                    std::uint32_t attempts) const
    {
        return {.name = RouteId(name),
                .host = "h",
                .prefix = prefix,
                .kind = kind,
                .services = {{.service = ServiceId(service)}},
                .timeout = routeTimeout_,
                .maxAttempts = attempts};
    }

    void addServer(const ScriptedServer &server, const std::string &id, std::optional<GroupPlace> group = std::nullopt)
    {
        gateway_->backends().update({.id = ServerId(id),
                                     .service = ServiceId("desk"),
                                     .address = server.address(),
                                     .dataCentre = DataCentreId("here"),
                                     .slots = 8,
                                     .group = std::move(group)},
                                    loop_.now());
    }

    std::shared_ptr<CallerAnswer> send(const std::string &method, const std::string &target,
                                       const std::string &key = "key", const std::string &timeLeft = "2000")
    {
        auto result = std::make_shared<CallerAnswer>();
        auto &connection = callers_.emplace_back(std::make_unique<Http1ClientConnection>(
            loop_, Http1ClientConnection::Options{.address = "127.0.0.1:" + std::to_string(gateway_->callerPort())}));
        HttpHeaders headers = {{"Host", "h"},
                               {"X-Attempt-Id", "a" + std::to_string(++attempts_)},
                               {"X-Time-Left-Ms", timeLeft},
                               {"X-Hornbeamlane-Team", "forged"}};
        if (!key.empty()) {
            headers.emplace_back("X-Api-Key", key);
        }
        connection->call({.method = method, .target = target, .headers = std::move(headers), .body = ""},
                         {.head =
                              [result](const Http1ResponseHead &head) {
                                  result->head = head;
                                  return true;
                              },
                          .data = [result](std::string_view bytes) { result->body.append(bytes); },
                          .end = [result](Http1CallEnd end) { result->end = end; }});
        return result;
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = loop_.now() + longestTest;
        Timer check(loop_, [&] {
            if (isDone() || loop_.now() > end) {
                loop_.stop();
            }
        });
        check.startRepeating(milliseconds(2));
        loop_.run();
        EXPECT_TRUE(isDone()) << "timed out";
    }

    void runFor(milliseconds time)
    {
        const auto end = loop_.now() + time;
        runUntil([&] { return loop_.now() >= end; });
    }

    void expectStatus(const std::shared_ptr<CallerAnswer> &result, int status)
    {
        runUntil([&] { return result->end.has_value(); });
        EXPECT_EQ(result->end, Http1CallEnd::Complete);
        EXPECT_EQ(result->head.status, status);
    }

    /** Read by SetUp(). */
    milliseconds shutdownBound_{8000};
    milliseconds stopNoticeTime_{3000};
    milliseconds routeTimeout_{1500};
    EventLoop loop_;
    RandomSource random_{3};
    std::unique_ptr<Gateway> gateway_;
    std::vector<std::unique_ptr<Http1ClientConnection>> callers_;
    std::unique_ptr<Timer> resetLater_;
    int attempts_ = 0;
};

} // namespace hornbeamlane
