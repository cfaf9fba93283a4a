#include "hornbeamlane_network/http1/Http1Caller.h"

#include "hornbeamlane_network/loop/Timer.h"

#include <algorithm>
#include <iterator>
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
    if (const auto found = idle_.find(call.address); found != idle_.end()) {
        auto &idle = found->second;
        std::unique_ptr<Http1ClientConnection> reusable;
        while (!idle.empty() && !reusable) {
            if (idle.back()->isReusable()) {
                reusable = std::move(idle.back());
            }
            idle.pop_back();
        }
        if (idle.empty()) {
            idle_.erase(found);
        }
        if (reusable) {
            return reusable;
        }
    }
    return std::make_unique<Http1ClientConnection>(
        loop_, Http1ClientConnection::Options{.address = call.address, .peerTimeout = call.timeout});
}

void Http1Caller::dropClosed()
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [](const auto &connection) { return !connection->isReusable(); });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
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
    headers.insert(headers.end(), call.headers.begin(), call.headers.end());
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
    const auto idle = idle_.find(ended->address);
    const auto kept = idle == idle_.end() ? 0 : idle->second.size();
    if (ended->connection->isReusable() && kept < maxIdleConnections) {
        if (kept == 0) {
            dropClosed();
        }
        idle_[ended->address].push_back(std::move(ended->connection));
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
