#include "hornbeamlane_entry/RefusalReply.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane {

namespace {

std::string refusalText(const Refusal &refusal)
{
    nlohmann::ordered_json error;
    error["code"] = toString(refusal.reason);
    error["execution"] = toString(refusal.execution);
    error["message"] = refusal.detail;
    if (refusal.retryAfter) {
        error["retry_after_ms"] = refusal.retryAfter->count();
    }
    const nlohmann::ordered_json body = {{"error", error}};
    // Bytes of a caller's text that are not UTF-8 must not turn a refusal into a failure of its own.
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

HttpResponse makeRefusalReply(const Refusal &refusal)
{
    HttpResponse response{.status = httpStatus(refusal.reason),
                          .contentType = "application/json",
                          .headers = {{"X-Execution-State", std::string(toString(refusal.execution))}},
                          .body = refusalText(refusal)};
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

std::string makeRefusalEvent(const Refusal &refusal)
{
    return "event: error\ndata: " + refusalText(refusal) + "\n\n";
}

} // namespace hornbeamlane
