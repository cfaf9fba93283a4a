#include "standins/EngineStandIn.h"

#include "standins/StandInSupport.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane::testing {

namespace {

using nlohmann::json;

constexpr std::string_view crashMarker = "crash-the-engine";
constexpr std::string_view keyValuePrefix = "/kv/";

/** Token at which a stream ends that the fault "endInsideEvent" has hit. */
constexpr std::uint64_t cutPosition = 5;

/** What a stream with the fault "endlessEvent" sends in each step from that token on. */
constexpr std::size_t floodBytes = 32 * 1024;

std::string tokenText(std::uint64_t position)
{
    return "w" + std::to_string(position) + " ";
}

json chunkOf(const std::string &text, bool isLast)
{
    json choice = {{"index", 0}, {"delta", {{"content", text}}}};
    choice["finish_reason"] = isLast ? json("stop") : json();
    return {{"object", "chat.completion.chunk"}, {"choices", json::array({choice})}};
}

} // namespace

EngineStandIn::EngineStandIn(EventLoop &loop, RandomSource &random, Options options)
    : loop_(loop)
    , random_(random)
    , options_(options)
    , server_(loop, {}, [this](const Exchange &exchange) { handle(exchange); })
    , stepTimer_(loop, [this] { step(); })
    , incarnation_(random.incarnation())
{
    turnCold();
    stepTimer_.startOnce(options_.stepTime);
}

bool EngineStandIn::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

std::uint16_t EngineStandIn::port() const
{
    return server_.port();
}

void EngineStandIn::turnCold()
{
    coldUntilStep_ = steps_ + options_.coldSteps;
}

void EngineStandIn::handle(const Exchange &exchange)
{
    const auto &path = exchange->request().path;
    if (path == "/v1/chat/completions") {
        handleChat(exchange);
    } else if (path == "/status") {
        replyStatus(exchange);
    } else if (path == "/faults") {
        handleFaults(exchange);
    } else if (path == "/orders") {
        handleOrder(exchange);
    } else if (path.starts_with(keyValuePrefix)) {
        handleKeyValueCache(exchange, path.substr(keyValuePrefix.size()));
    } else {
        replyText(exchange, 404, "unknown path");
    }
}

void EngineStandIn::handleChat(const Exchange &exchange)
{
    const auto body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        replyText(exchange, 400, "not a JSON object");
        return;
    }
    if (errorStatus_ != 0) {
        replyText(exchange, errorStatus_, "the engine fails");
        return;
    }
    if (exchange->request().body.find(crashMarker) != std::string::npos) {
        fallOver();
        exchange->abortStream();
        return;
    }
    Stream stream{.exchange = exchange,
                  .requestId = exchange->request().header("X-Request-Id").value_or(""),
                  .position = body.value("resume_from", std::uint64_t{0}),
                  .maxTokens = body.value("max_tokens", std::uint64_t{16}),
                  .isStreaming = body.value("stream", false)};
    const auto priority = exchange->request().header("X-Priority").value_or("0");
    stream.priority = std::strtoull(priority.c_str(), nullptr, 10);
    cacheEvents_.push_back(hash64(exchange->request().body));
    streams_.push_back(std::move(stream));
    ++chats_;
    mostAtOnce_ = std::max(mostAtOnce_, streams_.size());
    const bool isCold = steps_ < coldUntilStep_;
    if (isCold && streams_.size() > options_.coldCapacity) {
        fallOver();
    }
}

void EngineStandIn::fallOver()
{
    ++falls_;
    auto broken = std::move(streams_);
    streams_.clear();
    for (auto &stream : broken) {
        stream.exchange->abortStream();
    }
    incarnation_ = random_.incarnation();
    cacheEvents_.clear();
    highestToken_ = 0;
    turnCold();
}

void EngineStandIn::step()
{
    ++steps_;
    // Higher priorities take part first; the batch has a bounded size.
    streams_.sort([](const Stream &left, const Stream &right) { return left.priority > right.priority; });
    std::size_t served = 0;
    for (auto stream = streams_.begin(); stream != streams_.end() && served < options_.capacity;) {
        ++served;
        const bool isOver = stream->exchange->isClosed() || !generateToken(*stream);
        stream = isOver ? streams_.erase(stream) : std::next(stream);
    }
    reports_.emplace_back(loop_.now(), status().dump());
    while (reports_.size() > 1 && loop_.now() - reports_[1].first >= options_.reportLag) {
        reports_.pop_front();
    }
    stepTimer_.startOnce(options_.stepTime + stall_);
}

bool EngineStandIn::generateToken(Stream &stream)
{
    const auto text = tokenText(stream.position);
    ++stream.position;
    const bool isLast = stream.position >= stream.maxTokens;
    if (!stream.isStreaming) {
        stream.text += text;
        if (isLast) {
            const json message = {{"role", "assistant"}, {"content", stream.text}};
            replyJson(stream.exchange, 200,
                      {{"object", "chat.completion"},
                       {"choices", json::array({{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}})}},
                      rateLimitHeaders(rateLimit_));
        }
        return !isLast;
    }
    if (!stream.exchange->isStreaming()) {
        stream.exchange->startStream(
            {.status = 200, .contentType = "text/event-stream", .headers = rateLimitHeaders(rateLimit_)});
    }
    if (stream.position >= cutPosition && isFlooding_) {
        stream.exchange->sendChunk(std::string(floodBytes, 'x'));
        return true;
    }
    if (stream.position == cutPosition && streamsToCut_ > 0) {
        --streamsToCut_;
        stream.exchange->sendChunk("data: {\"cho");
        stream.exchange->finishStream();
        return false;
    }
    stream.exchange->sendChunk("data: " + chunkOf(text, isLast).dump() + "\n\n");
    if (isLast) {
        stream.exchange->sendChunk("data: [DONE]\n\n");
        stream.exchange->finishStream();
    }
    return !isLast;
}

json EngineStandIn::status() const
{
    return {
        {"incarnation", incarnation_.value()},
        {"running", streams_.size()},
        {"mostAtOnce", mostAtOnce_},
        {"falls", falls_},
        {"chats", chats_},
        {"steps", steps_},
        {"stepMicroseconds", std::chrono::duration_cast<std::chrono::microseconds>(options_.stepTime + stall_).count()},
        {"cacheSequence", cacheEvents_.size()},
        {"mapVersion", mapVersion_}};
}

void EngineStandIn::replyStatus(const Exchange &exchange)
{
    const bool isFresh = queryField(exchange->request().query, "fresh") == "1";
    if (isFresh || reports_.empty()) {
        replyJson(exchange, 200, status(), rateLimitHeaders(rateLimit_));
        return;
    }
    exchange->reply({.status = 200,
                     .contentType = "application/json",
                     .headers = rateLimitHeaders(rateLimit_),
                     .body = reports_.front().second});
}

void EngineStandIn::handleFaults(const Exchange &exchange)
{
    const auto faults = json::parse(exchange->request().body, nullptr, false);
    if (!faults.is_object()) {
        replyText(exchange, 400, "not a JSON object");
        return;
    }
    stall_ = std::chrono::milliseconds(faults.value("stallMilliseconds", 0));
    isFlooding_ = faults.value("endlessEvent", false);
    rateLimit_ = rateLimitOf(faults);
    errorStatus_ = faults.value("errorStatus", 0);
    streamsToCut_ = faults.value("endInsideEvent", streamsToCut_);
    if (faults.value("turnCold", false)) {
        turnCold();
    }
    if (faults.value("fallOver", false)) {
        fallOver();
    }
    replyText(exchange, 200, "ok");
}

void EngineStandIn::handleOrder(const Exchange &exchange)
{
    const auto order = json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object()) {
        replyText(exchange, 400, "not a JSON object");
        return;
    }
    const auto token = order.value("token", std::uint64_t{0});
    if (options_.isFencingEnforced && token < highestToken_) {
        replyText(exchange, 409, "old fencing token");
        return;
    }
    highestToken_ = std::max(highestToken_, token);
    mapVersion_ = order.value("map", mapVersion_);
    if (order.contains("model")) {
        models_.insert(order["model"].get<std::string>());
    }
    replyText(exchange, 200, "done");
}

void EngineStandIn::handleKeyValueCache(const Exchange &exchange, const std::string &requestId)
{
    const auto found = std::find_if(streams_.begin(), streams_.end(),
                                    [&](const Stream &stream) { return stream.requestId == requestId; });
    if (exchange->request().method == "PUT") {
        replyText(exchange, 200, "imported");
    } else if (found == streams_.end()) {
        replyText(exchange, 404, "no such stream");
    } else {
        replyJson(exchange, 200, {{"position", found->position}});
    }
}

} // namespace hornbeamlane::testing
