#include "hornbeamlane_gateway/state/TableFollower.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

TableFollower::TableFollower(EventLoop &loop, TableFeed feed, Options options, Callbacks callbacks)
    : loop_(loop)
    , feed_(std::move(feed))
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , timer_(loop, [this] { needsRead_ ? read() : watch(); })
{
}

void TableFollower::start()
{
    read();
}

void TableFollower::stop()
{
    isStopped_ = true;
    timer_.stop();
}

void TableFollower::read()
{
    feed_.readAll(options_.table, [this](const TableFeedReply &reply) { handleSnapshot(reply); });
}

void TableFollower::watch()
{
    feed_.readChanges(options_.table, version_, options_.wait,
                      [this](const TableFeedReply &reply) { handleChanges(reply); });
}

void TableFollower::handleSnapshot(const TableFeedReply &reply)
{
    if (isStopped_) {
        return;
    }
    if (reply.status != TableFeedReply::Status::Ok) {
        retryLater();
        return;
    }
    noteAnswer();
    // A read that is older than what is known would undo changes.
    if (hasSnapshot_ && reply.version < version_) {
        logEvent(LogLevel::Warning, "table_read_stale",
                 {{"table", options_.table},
                  {"version", std::to_string(reply.version.value())},
                  {"known", std::to_string(version_.value())}});
        retryLater();
        return;
    }
    needsRead_ = false;
    hasSnapshot_ = true;
    version_ = reply.version;
    callbacks_.snapshot(reply.rows);
    watch();
}

void TableFollower::handleChanges(const TableFeedReply &reply)
{
    if (isStopped_) {
        return;
    }
    switch (reply.status) {
    case TableFeedReply::Status::Unavailable:
        retryLater();
        return;
    case TableFeedReply::Status::HistoryGone:
        logEvent(LogLevel::Info, "table_history_gone",
                 {{"table", options_.table}, {"since", std::to_string(version_.value())}});
        noteAnswer();
        needsRead_ = true;
        read();
        return;
    case TableFeedReply::Status::Ok:
        break;
    }
    noteAnswer();
    version_ = std::max(version_, reply.version);
    if (!reply.rows.empty()) {
        callbacks_.changes(reply.rows);
    }
    watch();
}

void TableFollower::noteAnswer()
{
    lastAnswer_ = loop_.now();
    pause_ = std::chrono::milliseconds(0);
    if (!isReachable_) {
        isReachable_ = true;
        logEvent(LogLevel::Info, "table_reachable", {{"table", options_.table}});
        callbacks_.reachable(true);
    }
}

void TableFollower::retryLater()
{
    if (isReachable_) {
        isReachable_ = false;
        logEvent(LogLevel::Warning, "table_unreachable", {{"table", options_.table}});
        callbacks_.reachable(false);
    }
    pause_ = std::clamp(pause_ * 2, options_.firstPause, options_.maxPause);
    timer_.startOnce(pause_);
}

} // namespace hornbeamlane
