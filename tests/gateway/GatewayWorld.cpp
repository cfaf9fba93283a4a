#include "gateway/GatewayWorld.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace hornbeamlane {

using std::chrono::milliseconds;

namespace {

const std::string lookupPrefix = "/look/";
const std::string orderPrefix = "/order/";

} // namespace

GatewayWorld::GatewayWorld(Options options)
    : options_(options)
    , entries_(options.entries)
    , servers_(options.servers)
    , isTableReachable_(options.hasTable)
{
    for (auto &server : servers_) {
        server.process = std::make_unique<testing::ScriptedServer>(
            loop_, [this, &server](testing::ScriptedServer::Connection &connection, const std::string &head, int) {
                answerRequest(server, connection, head);
            });
    }
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        startEntry(index);
    }
    for (auto &server : servers_) {
        listServer(server);
    }
}

GatewayWorld::~GatewayWorld() = default;

void GatewayWorld::startEntry(std::size_t index)
{
    GatewaySettings settings{.name = "entry" + std::to_string(index), .dataCentre = DataCentreId("here")};
    settings.callerAddress = "127.0.0.1:0";
    settings.readyAddress = "127.0.0.1:0";
    settings.peerAddress = "127.0.0.1:0";
    settings.crashLearningTime = options_.learningTime;
    settings.retryRatio = 1;
    settings.retryAllowance = 1000;
    auto entry = std::make_unique<Gateway>(
        loop_, random_, settings,
        GatewayHooks{
            .isMapHolder = [] { return false; },
            .tableVersions = [] { return std::vector<TableVersion>(); },
            .peerVersions = [](const auto &) {},
            .writeCrashRow = [this](const std::string &value, RowVersion expected,
                                    const TableClient::ReplyHandler &handler) { writeRow(value, expected, handler); }});
    entry->start();
    DispatchCatalogue catalogue{.version = CatalogueVersion(1)};
    catalogue.routes = {{.name = RouteId("chat"),
                         .host = "h",
                         .prefix = "/chat/",
                         .kind = RequestKind::Stream,
                         .services = {{.service = ServiceId("pool")}},
                         .timeout = milliseconds(2000),
                         .maxAttempts = 2,
                         .isResumable = true},
                        {.name = RouteId("look"),
                         .host = "h",
                         .prefix = lookupPrefix,
                         .kind = RequestKind::Idempotent,
                         .services = {{.service = ServiceId("pool")}},
                         .timeout = milliseconds(1000),
                         .maxAttempts = 2},
                        {.name = RouteId("order"),
                         .host = "h",
                         .prefix = orderPrefix,
                         .kind = RequestKind::NonIdempotent,
                         .services = {{.service = ServiceId("pool")}},
                         .timeout = milliseconds(1000)}};
    catalogue.routes.front().isPublic = true;
    catalogue.teams = {{.name = TeamId("glue"), .keys = {"key-of-glue"}},
                       {.name = TeamId("zip"), .keys = {"key-of-zip"}}};
    catalogue.services = {{.name = ServiceId("pool")}};
    entry->applyCatalogue(std::move(catalogue));
    entries_[index] = std::move(entry);
    introduceEntries();
}

void GatewayWorld::writeRow(const std::string &value, RowVersion expected, const TableClient::ReplyHandler &handler)
{
    if (!isTableReachable_) {
        handler({.status = TableStatus::Unavailable});
        return;
    }
    if (expected != rowVersion_) {
        handler({.status = TableStatus::Conflict});
        return;
    }
    row_ = value;
    rowVersion_ = rowVersion_.next();
    handler({.status = TableStatus::Ok, .row = TableRow{.key = "known", .version = rowVersion_}});
    later(milliseconds(5), [this] { readRow(); });
}

void GatewayWorld::readRow()
{
    if (!isTableReachable_ || rowVersion_ == RowVersion()) {
        return;
    }
    for (const auto &entry : entries_) {
        if (entry) {
            entry->crashRow().onRow(row_, rowVersion_);
        }
    }
}

void GatewayWorld::introduceEntries()
{
    if (!options_.hasPeers) {
        return;
    }
    for (const auto &one : entries_) {
        for (const auto &other : entries_) {
            if (one && other && one != other) {
                one->peers().addPeer("127.0.0.1:" + std::to_string(other->peers().port()));
            }
        }
    }
}

void GatewayWorld::restartEntry(std::size_t index)
{
    entries_[index].reset();
    startEntry(index);
    for (const auto &server : servers_) {
        listServerAt(*entries_[index], server);
    }
    later(options_.tableReadTime, [this, index] { readTable(index); });
}

void GatewayWorld::readTable(std::size_t entry)
{
    if (!isTableReachable_) {
        return;
    }
    if (rowVersion_ != RowVersion()) {
        entries_[entry]->crashRow().onRow(row_, rowVersion_);
    }
    entries_[entry]->crashRow().onTableRead();
}

void GatewayWorld::listServerAt(Gateway &entry, const Server &server)
{
    entry.backends().update({.id = ServerId(server.id),
                             .service = ServiceId("pool"),
                             .address = server.process->address(),
                             .dataCentre = DataCentreId("here"),
                             .slots = 16,
                             .incarnation = options_.tellsStarts ? server.startedAt : 0},
                            loop_.now());
    entry.serversChanged();
}

void GatewayWorld::listServer(Server &server)
{
    const ServerId old(server.id);
    ++server.lifetimes;
    server.startedAt = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    server.id = server.process->address() + "/" + std::to_string(options_.keepsIds ? 1 : server.lifetimes);
    for (const auto &entry : entries_) {
        entry->backends().remove(old, std::nullopt);
        listServerAt(*entry, server);
    }
}

bool GatewayWorld::isDeadly(const std::string &parts) const
{
    std::istringstream list(parts);
    for (std::string part; std::getline(list, part, ',');) {
        if (deadlyParts.contains(part.substr(0, part.find(':')))) {
            return true;
        }
    }
    return false;
}

void GatewayWorld::answerRequest(Server &server, testing::ScriptedServer::Connection &connection,
                                 const std::string &head)
{
    server.arrivals.push_back(loop_.now());
    if (isLookup(head)) {
        answerLookup(server, connection, head);
        return;
    }
    if (isDeadly(headerOf(head, "X-Prompt-Parts"))) {
        if (options_.sendsHeadBeforeCrash) {
            connection.send(streamHead(head));
        }
        crashUnderRequest(server);
        return;
    }
    if (silentParts.contains(headerOf(head, "X-Prompt-Parts"))) {
        return;
    }
    const auto limit = server.limit ? "X-Rate-Limit: " + std::to_string(*server.limit) + "\r\n" : std::string();
    connection.send(streamHead(head, limit) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
}

void GatewayWorld::answerLookup(Server &server, testing::ScriptedServer::Connection &connection,
                                const std::string &head)
{
    if (isFailing) {
        connection.send(answer(head, 500, "failed"));
        return;
    }
    if (!deadlyPath.empty() && head.find(" " + deadlyPath) != std::string::npos) {
        crashUnderRequest(server);
        return;
    }
    if (!closedPath.empty() && head.find(" " + closedPath) != std::string::npos && connection.requests() > 1) {
        connection.close();
        return;
    }
    if (lookupTime == milliseconds(0)) {
        connection.send(answer(head, 200, "found"));
        return;
    }
    const auto number = server.lifetimes;
    later(lookupTime, [&server, &connection, head, number] {
        // The connection is gone with the server that has crashed meanwhile.
        if (server.isUp && server.lifetimes == number) {
            connection.send(answer(head, 200, "found"));
        }
    });
}

bool GatewayWorld::isLookup(const std::string &head) const
{
    return head.starts_with("GET " + lookupPrefix) || head.starts_with("POST " + orderPrefix);
}

int GatewayWorld::deadlyRequestsAfterThirdCrash(milliseconds time) const
{
    constexpr std::size_t crashes = 3;
    if (deadlyArrivals_.size() < crashes) {
        return 0;
    }
    const auto from = deadlyArrivals_[crashes - 1] + options_.crashDelay + time;
    return static_cast<int>(std::count_if(deadlyArrivals_.begin(), deadlyArrivals_.end(),
                                          [from](TimePoint arrival) { return arrival > from; }));
}

void GatewayWorld::crashUnderRequest(Server &server)
{
    deadlyArrivals_.push_back(loop_.now());
    later(options_.crashDelay, [this, &server, number = server.lifetimes] {
        if (server.lifetimes == number) {
            crashServer(static_cast<std::size_t>(&server - servers_.data()));
        }
    });
}

void GatewayWorld::crashServer(std::size_t index)
{
    auto &server = servers_[index];
    if (!std::exchange(server.isUp, false)) {
        return;
    }
    server.process->crash();
    ++crashes_;
    later(options_.downTime, [this, &server] {
        server.process->restart();
        server.isUp = true;
        listServer(server);
    });
}

void GatewayWorld::setLimit(std::size_t server, std::optional<double> perSecond)
{
    servers_[server].limit = perSecond;
}

const std::vector<TimePoint> &GatewayWorld::arrivals(std::size_t server) const
{
    return servers_[server].arrivals;
}

void GatewayWorld::later(milliseconds delay, std::function<void()> action)
{
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(action)));
    timers_.back()->startOnce(delay);
}

std::shared_ptr<CallerAnswer> GatewayWorld::call(std::size_t entry, Http1ClientConnection::Request request)
{
    request.headers.insert(request.headers.end(), {{"Host", "h"}, {"X-Attempt-Id", "a" + std::to_string(++attempts_)}});
    auto result = std::make_shared<CallerAnswer>();
    std::erase_if(callers_, [](const auto &caller) { return caller.second->end.has_value(); });
    const auto address = "127.0.0.1:" + std::to_string(entries_[entry]->callerPort());
    auto &connection = callers_
                           .emplace_back(std::make_unique<Http1ClientConnection>(
                                             loop_, Http1ClientConnection::Options{.address = address}),
                                         result)
                           .first;
    connection->call(request,
                     {.head =
                          [result](const Http1ResponseHead &head) {
                              result->head = head;
                              return true;
                          },
                      .data = [result](std::string_view bytes) { result->body.append(bytes); },
                      .end = [result](Http1CallEnd end) { result->end = end; }});
    return result;
}

std::shared_ptr<CallerAnswer> GatewayWorld::send(std::size_t entry, const std::string &parts)
{
    return call(entry,
                {.method = "POST",
                 .target = "/chat/",
                 .headers = {{"X-Time-Left-Ms", "2000"}, {"X-Prompt-Parts", parts}},
                 .body = parts});
}

std::shared_ptr<CallerAnswer> GatewayWorld::sendLookup(std::size_t entry, const std::string &team,
                                                       const std::string &path)
{
    return callForTeam(entry, team, "GET", path);
}

std::shared_ptr<CallerAnswer> GatewayWorld::sendOrder(std::size_t entry, const std::string &team,
                                                      const std::string &path)
{
    return callForTeam(entry, team, "POST", path);
}

std::shared_ptr<CallerAnswer> GatewayWorld::callForTeam(std::size_t entry, const std::string &team,
                                                        const std::string &method, const std::string &path)
{
    return call(
        entry,
        {.method = method, .target = path, .headers = {{"X-Time-Left-Ms", "1000"}, {"X-Api-Key", "key-of-" + team}}});
}

void GatewayWorld::runFor(milliseconds time)
{
    Timer end(loop_, [this] { loop_.stop(); });
    end.startOnce(time);
    loop_.run();
}

} // namespace hornbeamlane
