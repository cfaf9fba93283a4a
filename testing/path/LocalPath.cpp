#include "path/LocalPath.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

std::string addressOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

json entryOf(const char *kind, const char *name, const json &fields)
{
    json entry = {{"kind", kind}, {"name", name}, {"owner", "ops"}, {"class", "counter"}, {"limits", json::object()}};
    entry.update(fields);
    return entry;
}

} // namespace

LocalPath::LocalPath(const Options &options)
    : platform_(loop_, random_)
    , engine_(loop_, random_, options.engine)
    , service_(loop_)
{
    setLogLevel(LogLevel::Error);
    const bool isListening =
        platform_.listen("127.0.0.1", 0) && engine_.listen("127.0.0.1", 0) && service_.listen("127.0.0.1", 0);
    HORNBEAMLANE_ASSERT(isListening);
    const auto startAgent = [this](const char *name, const std::string &backend) {
        AgentSettings settings;
        settings.server = ServerId(name);
        settings.host = HostId(std::string("host-") + name);
        settings.dataCentre = DataCentreId("a");
        settings.engineAddress = backend;
        settings.platformAddress = platformAddress();
        settings.engineStatusInterval = 20ms;
        settings.loadReportInterval = 20ms;
        auto agent = std::make_unique<Agent>(loop_, random_, settings);
        HORNBEAMLANE_ASSERT(agent->start());
        return agent;
    };
    engineAgent_ = startAgent("engine", engineAddress());
    serviceAgent_ = startAgent("service", serviceAddress());
    writeCatalogue(catalogueDocument(options.engineConcurrency));
    EntrySettings settings;
    settings.name = EntryHostId("entry");
    settings.dataCentre = DataCentreId("a");
    settings.platformAddress = platformAddress();
    settings.shutdownDelay = 0ms;
    entry_ = std::make_unique<Entry>(loop_, random_, settings);
    HORNBEAMLANE_ASSERT(entry_->start());
}

std::string LocalPath::catalogueDocument(std::uint32_t engineConcurrency) const
{
    auto entries = json::array();
    entries.push_back(entryOf("class", "counter", {{"priority", 5}, {"deadlineMilliseconds", 20000}}));
    entries.push_back(entryOf("dataCentre", "a", {{"region", "north"}}));
    entries.push_back(entryOf("model", "draft", json::object()));
    const json calls = json::array({{{"method", "POST"}, {"pathPrefix", "/orders"}, {"idempotencyKey", "required"}},
                                    {{"method", "GET"}, {"pathPrefix", "/"}, {"repeatable", true}}});
    entries.push_back(entryOf("service", "orders", {{"calls", calls}}));
    const auto server = [&](const char *name, std::uint16_t port, std::uint32_t concurrency, const json &serves) {
        json fields = {{"dataCentre", "a"},
                       {"host", std::string("host-") + name},
                       {"agentAddress", addressOf(port)},
                       {"limits", {{"concurrency", concurrency}}}};
        fields.update(serves);
        return entryOf("backendServer", name, fields);
    };
    entries.push_back(server("engine", engineAgent_->linkPort(), engineConcurrency, {{"models", {"draft"}}}));
    entries.push_back(server("service", serviceAgent_->linkPort(), 8, {{"services", {"orders"}}}));
    entries.push_back(entryOf(
        "team", "workshop",
        {{"limits", {{"concurrency", 32}}}, {"floors", {{"a", 32}}}, {"models", {"draft"}}, {"services", {"orders"}}}));
    return json{{"entries", entries}}.dump();
}

void LocalPath::writeCatalogue(const std::string &document)
{
    CatalogueHead head;
    head.accept(CatalogueVersion(1));
    const HttpHeaders isAbsent = {{"If-Match", "0"}};
    const auto address = platformAddress();
    callAt(address, "PUT", "/v1/rows/" + percentEncode(catalogueRowKey(CatalogueVersion(1))), isAbsent, document);
    callAt(address, "PUT", "/v1/rows/" + percentEncode(catalogueHeadKey), isAbsent, head.toRowValue());
}

bool LocalPath::runUntil(const std::function<bool()> &condition, Duration bound)
{
    bool isMet = false;
    Timer check(loop_, [&] {
        isMet = condition();
        if (isMet) {
            loop_.stop();
        }
    });
    check.startRepeating(1ms);
    Timer limit(loop_, [this] { loop_.stop(); });
    limit.startOnce(bound);
    loop_.run();
    return isMet;
}

bool LocalPath::runUntilReady()
{
    for (int i = 0; i < 200; ++i) {
        const auto chat = call("POST", "/v1/chat/completions", teamHeaders(), chatBody(1, false));
        const auto stock = call("GET", "/services/orders/stock", teamHeaders(), "");
        if (chat.response.status == 200 && stock.response.status == 200) {
            return true;
        }
        runUntil([] { return false; }, 50ms);
    }
    return false;
}

LocalPath::Answer LocalPath::call(const std::string &method, const std::string &target, const HttpHeaders &headers,
                                  const std::string &body)
{
    return callAt(entryAddress(), method, target, headers, body);
}

LocalPath::Answer LocalPath::callAt(const std::string &address, const std::string &method, const std::string &target,
                                    const HttpHeaders &headers, const std::string &body)
{
    // Shared with the handler, which may run after the wait has been given up.
    const auto answer = std::make_shared<Answer>();
    const auto isOver = std::make_shared<bool>(false);
    sendHttpRequest(loop_, {.address = address, .method = method, .target = target, .headers = headers, .body = body},
                    [this, answer, isOver](HttpCallEnd end, const HttpResponse &response) {
                        *answer = {.end = end, .response = response};
                        *isOver = true;
                        loop_.stop();
                    });
    Timer limit(loop_, [this] { loop_.stop(); });
    limit.startOnce(30s);
    loop_.run();
    return *answer;
}

std::string LocalPath::entryAddress() const
{
    return addressOf(entry_->httpPort());
}

std::string LocalPath::engineAddress() const
{
    return addressOf(engine_.port());
}

std::string LocalPath::serviceAddress() const
{
    return addressOf(service_.port());
}

std::string LocalPath::platformAddress() const
{
    return addressOf(platform_.port());
}

HttpHeaders LocalPath::teamHeaders()
{
    return {{"X-Hornbeamlane-Team", "workshop"}, {"Content-Type", "application/json"}};
}

std::string LocalPath::chatBody(std::uint64_t tokens, bool isStream, const std::string &text)
{
    return json{{"model", "draft"},
                {"stream", isStream},
                {"max_tokens", tokens},
                {"messages", json::array({{{"role", "user"}, {"content", text}}})}}
        .dump();
}

void LocalPath::loseServiceAgent()
{
    serviceAgent_.reset();
}

} // namespace hornbeamlane::testing
