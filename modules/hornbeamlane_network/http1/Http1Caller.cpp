#include "hornbeamlane_network/http1/Http1Caller.h"

#include "hornbeamlane_network/loop/Timer.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

/** Connections kept for each address: calls that wait for long and short ones run side by side. */
constexpr std::size_t maxIdleConnections = 3;

/** Bytes of all replies together that are not complete. */
constexpr std::size_t maxHeldBytes = 24 * 1024 * 1024;

} // namespace

struct Http1Caller::Running
{
    std::string address;
    std::unique_ptr<Http1ClientConnection> connection;
    Handler handler;
    Reply reply;
    int status = 0;
    std::unique_ptr<Timer> timeout;
};

Http1Caller::Http1Caller(EventLoop &loop)
    : loop_(loop)
{
}

Http1Caller::~Http1Caller() = default;

std::unique_ptr<Http1ClientConnection> Http1Caller::connectionTo(const Call &call)
{
    auto &idle = idle_[call.address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
    }
    return std::make_unique<Http1ClientConnection>(
        loop_, Http1ClientConnection::Options{.address = call.address, .peerTimeout = call.timeout});
}

void Http1Caller::call(const Call &call, Handler handler)
{
    auto owned = std::make_unique<Running>();
    auto *running = owned.get();
    running_.emplace(running, std::move(owned));
    running->address = call.address;
    running->handler = std::move(handler);
    running->timeout = std::make_unique<Timer>(loop_, [this, running] { finish(running, Http1CallEnd::BrokenOff); });
    running->timeout->startOnce(call.timeout);
    running->connection = connectionTo(call);
    HttpHeaders headers = {{"Host", call.address}};
    if (!call.contentType.empty()) {
        headers.emplace_back("Content-Type", call.contentType);
    }
    running->connection->call(
        {.method = call.method, .target = call.target, .headers = std::move(headers), .body = call.body},
        {.head =
             [running](const Http1ResponseHead &head) {
                 running->status = head.status;
                 running->reply.head = head;
                 return true;
             },
         .data = [this, running](std::string_view bytes) { append(running, bytes); },
         .end = [this, running](Http1CallEnd end) { finish(running, end); }});
}

void Http1Caller::append(Running *running, std::string_view bytes)
{
    if (running->reply.body.size() + bytes.size() > maxReplyBytes) {
        finish(running, Http1CallEnd::BadResponse);
        return;
    }
    running->reply.body.append(bytes);
    heldBytes_ += bytes.size();
    if (heldBytes_ <= maxHeldBytes) {
        return;
    }
    // Sound replies are short, so the longest one is the least likely to be of use.
    const auto longest = std::max_element(running_.begin(), running_.end(), [](const auto &a, const auto &b) {
        return a.second->reply.body.size() < b.second->reply.body.size();
    });
    finish(longest->first, Http1CallEnd::BadResponse);
}

void Http1Caller::finish(Running *running, Http1CallEnd end)
{
    const auto found = running_.find(running);
    if (found == running_.end()) {
        return;
    }
    // Its timer or its connection may be calling, so it is destroyed on the next turn.
    const std::shared_ptr<Running> ended = std::move(found->second);
    running_.erase(found);
    heldBytes_ -= ended->reply.body.size();
    ended->timeout->stop();
    auto &idle = idle_[ended->address];
    if (ended->connection->isReusable() && idle.size() < maxIdleConnections) {
        idle.push_back(std::move(ended->connection));
    } else {
        ended->connection->cancel();
    }
    loop_.post([ended] {});
    if (end == Http1CallEnd::Complete) {
        ended->reply.status = ended->status;
    }
    ended->reply.isNotSent = end == Http1CallEnd::NotSent;
    ended->handler(ended->reply);
}

} // namespace hornbeamlane
