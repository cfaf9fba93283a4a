#include "hornbeamlane_entry/Entry.h"

#include "hornbeamlane_entry/RefusalReply.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

namespace {

constexpr auto cataloguePollInterval = std::chrono::seconds(1);

HttpResponse textReply(int status, std::string text)
{
    return {.status = status, .contentType = "text/plain", .body = std::move(text)};
}

/** Attempt that a message of an agent belongs to. */
std::optional<AttemptId> attemptOf(const Message &message)
{
    return std::visit(
        []<class T>(const T &value) -> std::optional<AttemptId> {
            if constexpr (requires { value.attempt; }) {
                return value.attempt;
            } else {
                return std::nullopt;
            }
        },
        message);
}

} // namespace

Entry::Entry(EventLoop &loop, RandomSource &random, EntrySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(random.incarnation())
    , server_(loop, {}, [this](const Exchange &exchange) { handleHttp(exchange); })
    , table_(loop, {.address = settings_.platformAddress})
    , pollTimer_(loop, [this] { pollCatalogue(); })
    , shutdownTimer_(loop, [this] { stopAccepting(); })
    , links_(loop, random,
             {.hello = [this] { return hello(); },
              .heartbeat = [this] { return Heartbeat{.catalogueVersion = version_}; }},
             {.opened = [](const ServerId &, const Hello &) {},
              .received = [this](const ServerId &server, const Message &message) { handleMessage(server, message); },
              .closed = [this](const ServerId &server, Incarnation incarnation,
                               LinkEnd end) { handleLinkClosed(server, incarnation, end); }})
{
}

Entry::~Entry() = default;

bool Entry::start()
{
    const auto address = splitAddress(settings_.httpAddress);
    if (!address || !server_.listen(address->first, address->second)) {
        return false;
    }
    logEvent(LogLevel::Info, "listening", {{"http_port", std::to_string(server_.port())}});
    pollCatalogue();
    pollTimer_.startRepeating(cataloguePollInterval);
    return true;
}

std::uint16_t Entry::httpPort() const
{
    return server_.port();
}

void Entry::shutDown(std::function<void()> done)
{
    isLeaving_ = true;
    whenIdle_ = std::move(done);
    shutdownTimer_.startOnce(settings_.shutdownDelay);
}

void Entry::stopAccepting()
{
    server_.stopAccepting();
    hasStoppedAccepting_ = true;
    reportIfIdle();
}

void Entry::reportIfIdle()
{
    if (hasStoppedAccepting_ && flows_.empty() && whenIdle_) {
        whenIdle_();
    }
}

Hello Entry::hello() const
{
    return {.role = ProcessRole::Entry,
            .name = settings_.name.name(),
            .incarnation = incarnation_,
            .dataCentre = settings_.dataCentre,
            .catalogueVersion = version_};
}

void Entry::pollCatalogue()
{
    table_.read("catalogue/head", [this](const TableReply &reply) {
        if (reply.status != TableStatus::Ok) {
            return;
        }
        const auto head = nlohmann::json::parse(reply.row->value, nullptr, false);
        const CatalogueVersion version(head.is_object() ? head.value("version", std::uint64_t{0}) : 0);
        if (version > version_) {
            readDocument(version);
        }
    });
}

void Entry::readDocument(CatalogueVersion version)
{
    table_.read("catalogue/" + std::to_string(version.value()), [this, version](const TableReply &reply) {
        DocumentFaults faults;
        if (reply.status != TableStatus::Ok || version <= version_) {
            return;
        }
        auto catalogue = readCatalogue(reply.row->value, faults);
        if (!catalogue) {
            logEvent(LogLevel::Error, "catalogue_unreadable", {{"fault", faults.front().toString()}});
            return;
        }
        catalogue_ = std::move(catalogue);
        version_ = version;
        links_.applyCatalogue(*catalogue_);
        logEvent(LogLevel::Info, "catalogue_in_force", {{"version", std::to_string(version.value())}});
    });
}

void Entry::handleHttp(const Exchange &exchange)
{
    const auto &path = exchange->request().path;
    if (path == "/healthz") {
        exchange->reply(textReply(200, "ok\n"));
    } else if (path == "/readyz") {
        const bool isReady = !isLeaving_ && catalogue_;
        exchange->reply(textReply(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"));
    } else {
        handleCall(exchange);
    }
}

void Entry::handleCall(const Exchange &exchange)
{
    if (!catalogue_) {
        exchange->reply(makeRefusalReply({.reason = RefusalReason::NotReady,
                                          .execution = ExecutionState::NotRun,
                                          .retryAfter = std::chrono::seconds(1),
                                          .detail = "no catalogue is in force yet"}));
        return;
    }
    Refusal refusal;
    auto request = readCallerRequest(exchange->request(), *catalogue_, refusal);
    if (!request) {
        exchange->reply(makeRefusalReply(refusal));
        return;
    }
    const auto id = ++lastFlow_;
    RequestFlow::Hooks hooks;
    hooks.chooseServer = [this](const CallerRequest &call, const std::vector<ServerId> &tried) {
        return chooseServer(call, tried);
    };
    hooks.beginAttempt = [this, id](const ServerId &server) -> std::optional<AttemptId> {
        if (!links_.isOpen(server)) {
            return std::nullopt;
        }
        const AttemptId attempt{.entry = incarnation_, .sequence = ++lastAttempt_};
        flowOfAttempt_[attempt] = id;
        return attempt;
    };
    hooks.send = [this](const ServerId &server, const Message &message) { return links_.send(server, message); };
    hooks.finished = [this, id](const AttemptId &attempt) {
        flowOfAttempt_.erase(attempt);
        loop_.post([this, id] { removeFlow(id); });
    };
    auto &flow = flows_[id];
    flow = std::make_unique<RequestFlow>(std::move(*request), exchange, std::move(hooks));
    flow->start();
}

std::optional<ServerId> Entry::chooseServer(const CallerRequest &request, const std::vector<ServerId> &tried) const
{
    for (const auto &[id, server] : catalogue_->servers) {
        const bool isTried = std::find(tried.begin(), tried.end(), id) != tried.end();
        const auto &target = request.dispatch.target;
        const bool servesTarget = request.dispatch.kind == WorkKind::Model
            ? std::find(server.models.begin(), server.models.end(), ModelId(target)) != server.models.end()
            : std::find(server.services.begin(), server.services.end(), ServiceId(target)) != server.services.end();
        if (!isTried && servesTarget && links_.isOpen(id)) {
            return id;
        }
    }
    return std::nullopt;
}

void Entry::handleMessage(const ServerId &, const Message &message)
{
    const auto attempt = attemptOf(message);
    const auto found = attempt ? flowOfAttempt_.find(*attempt) : flowOfAttempt_.end();
    if (found != flowOfAttempt_.end()) {
        flows_.at(found->second)->onMessage(message);
    }
}

void Entry::handleLinkClosed(const ServerId &server, Incarnation, LinkEnd end)
{
    logEvent(LogLevel::Info, "agent_link_closed", {{"server", server.name()}, {"reason", std::string(toString(end))}});
    std::vector<RequestFlow *> running;
    for (const auto &[id, flow] : flows_) {
        running.push_back(flow.get());
    }
    for (auto *flow : running) {
        flow->onServerLost(server);
    }
}

void Entry::removeFlow(std::uint64_t flow)
{
    flows_.erase(flow);
    reportIfIdle();
}

} // namespace hornbeamlane
