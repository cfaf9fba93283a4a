#pragma once

#include "hornbeamlane_network/hornbeamlane_network.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

void replyText(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &text);
void replyJson(const std::shared_ptr<HttpExchange> &exchange, int status, const nlohmann::json &json,
               const HttpHeaders &headers = {});

/** Header that names a limit on requests a second; none without a limit. */
HttpHeaders rateLimitHeaders(std::optional<double> perSecond);

/** The limit that a PUT /faults sets; empty if it sets none. */
std::optional<double> rateLimitOf(const nlohmann::json &faults);

/** Runs the task once after the delay; the timers live in the list of the owner. */
void runLater(EventLoop &loop, std::vector<std::unique_ptr<Timer>> &timers, Duration delay, std::function<void()> task);

/** Runs the loop until SIGTERM or SIGINT. */
void runUntilSignal(EventLoop &loop);

} // namespace hornbeamlane::testing
