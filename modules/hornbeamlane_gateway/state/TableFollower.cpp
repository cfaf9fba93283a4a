#include "hornbeamlane_gateway/state/TableFollower.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

TableFollower::TableFollower(EventLoop &loop, RandomSource &random, TableFeed feed, Options options,
                             Callbacks callbacks)
    : loop_(loop)
    , random_(random)
    , feed_(std::move(feed))
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , timer_(loop, [this] { needsRead_ ? read() : watch(); })
    , missingTimer_(loop, [this] { checkMissing(); })
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
    feed_.readAll(options_.table, [this, number = ++callNumber_](const TableFeedReply &reply) {
        if (number == callNumber_) {
            handleSnapshot(reply);
        }
    });
}

void TableFollower::watch()
{
    feed_.readChanges(options_.table, version_, isBehind() ? std::chrono::milliseconds(0) : nextWait(),
                      [this, number = ++callNumber_, wanted = wantedVersion_](const TableFeedReply &reply) {
                          if (number == callNumber_) {
                              handleChanges(reply, wanted);
                          }
                      });
}

std::chrono::milliseconds TableFollower::nextWait()
{
    // The more processes follow the table, the sooner one of them hears of a change and tells the others. Their waits
    // differ, so that they do not all end late after the store has been silent.
    const auto peers = static_cast<std::int64_t>(callbacks_.peers());
    const auto wait = std::clamp(options_.waitPerPeer * peers, options_.wait, options_.maxWait);
    return wait * 3 / 4 + std::chrono::milliseconds(random_.below(static_cast<std::uint64_t>(wait.count() / 4)));
}

void TableFollower::noteRows(const std::vector<TableChange> &rows)
{
    for (const auto &row : rows) {
        newestRow_ = std::max(newestRow_, row.version);
    }
    if (unconfirmedVersion_ && knownVersion() >= *unconfirmedVersion_) {
        unconfirmedVersion_.reset();
    }
    if (!isMissing()) {
        missingFrom_ = {};
        missingSince_ = {};
    }
}

void TableFollower::catchUp(const TableVersion &version)
{
    if (isStopped_ || version.era != era_ || RowVersion(version.version) <= version_) {
        return;
    }
    wantedVersion_ = std::max(wantedVersion_, RowVersion(version.version));
    // After a failure, or while the table is read anew, the next question comes by itself.
    if (!needsRead_ && isReachable_) {
        timer_.stop();
        watch();
    }
}

void TableFollower::onPeerVersion(const TableVersion &seen)
{
    if (seen.era == era_) {
        if (!unconfirmedVersion_ || RowVersion(seen.version) < *unconfirmedVersion_) {
            peerVersion_ = std::max(peerVersion_, RowVersion(seen.version));
        }
    } else if (seen.era && era_ && *seen.era > *era_) {
        // The peer's word makes this process ask; only the store's own answer moves its era.
        hasPeerLaterEra_ = !isLaterEraUnconfirmed_;
    } else {
        return;
    }
    checkMissing();
}

void TableFollower::onEraRisen(TableEra era)
{
    if (hasSnapshot_ && !isStopped_ && era_ && era > *era_) {
        readAnew();
    }
}

void TableFollower::readAnew()
{
    needsRead_ = true;
    missingFrom_ = {};
    missingSince_ = {};
    timer_.stop();
    missingTimer_.stop();
    read();
}

bool TableFollower::isOfEarlierEra(const TableFeedReply &reply) const
{
    return reply.era && era_ && *reply.era < *era_;
}

bool TableFollower::isOfLaterEra(const TableFeedReply &reply) const
{
    return reply.era && era_ && *reply.era > *era_;
}

RowVersion TableFollower::knownVersion() const
{
    // A removal that precedes the read has a version, but leaves no row.
    return std::max(newestRow_, version_);
}

bool TableFollower::isMissing() const
{
    return knownVersion() < peerVersion_ || hasPeerLaterEra_;
}

void TableFollower::expirePeerVersion()
{
    logEvent(LogLevel::Warning, "table_change_unconfirmed",
             {{"table", options_.table},
              {"known", std::to_string(knownVersion().value())},
              {"told", std::to_string(peerVersion_.value())},
              {"later_era", hasPeerLaterEra_ ? "yes" : "no"}});
    if (knownVersion() < peerVersion_) {
        unconfirmedVersion_ = peerVersion_;
    }
    isLaterEraUnconfirmed_ = isLaterEraUnconfirmed_ || hasPeerLaterEra_;
    peerVersion_ = RowVersion();
    hasPeerLaterEra_ = false;
    missingFrom_ = {};
    missingSince_ = {};
}

void TableFollower::checkMissing()
{
    if (!isMissing() || isStopped_ || needsRead_) {
        return;
    }
    const auto now = loop_.now();
    if (missingSince_ == TimePoint{}) {
        missingFrom_ = now;
        missingSince_ = now;
        missingTimer_.startOnce(options_.maxPeerLead);
        return;
    }
    if (now - missingSince_ < options_.maxPeerLead) {
        return;
    }
    if (now - missingFrom_ >= options_.peerExpiry) {
        expirePeerVersion();
        return;
    }
    logEvent(LogLevel::Warning, "table_change_missed",
             {{"table", options_.table},
              {"known", std::to_string(knownVersion().value())},
              {"told", std::to_string(peerVersion_.value())}});
    missingSince_ = now;
    missingTimer_.startOnce(options_.maxPeerLead * 2);
    timer_.stop();
    watch();
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
    const bool isRestored = hasSnapshot_ && isOfLaterEra(reply);
    // A read that is older than what is known would undo changes. A later era gives its versions out again.
    if (hasSnapshot_ && !isRestored && (isOfEarlierEra(reply) || reply.version < version_)) {
        logEvent(LogLevel::Warning, "table_read_stale",
                 {{"table", options_.table},
                  {"version", std::to_string(reply.version.value())},
                  {"known", std::to_string(version_.value())}});
        retryLater();
        return;
    }
    needsRead_ = false;
    hasSnapshot_ = true;
    if (isRestored) {
        logEvent(LogLevel::Warning, "table_restored",
                 {{"table", options_.table},
                  {"era", std::to_string(*reply.era)},
                  {"version", std::to_string(reply.version.value())},
                  {"known", std::to_string(version_.value())}});
        newestRow_ = RowVersion();
        wantedVersion_ = RowVersion();
        peerVersion_ = RowVersion();
        hasPeerLaterEra_ = false;
        unconfirmedVersion_.reset();
        isLaterEraUnconfirmed_ = false;
        missingFrom_ = {};
        missingSince_ = {};
        callbacks_.restored();
    }
    era_ = reply.era ? reply.era : era_;
    version_ = reply.version;
    noteRows(reply.rows);
    callbacks_.snapshot(reply.rows);
    callbacks_.advanced();
    watch();
}

void TableFollower::handleChanges(const TableFeedReply &reply, RowVersion wanted)
{
    if (isStopped_) {
        return;
    }
    if (reply.status != TableFeedReply::Status::Unavailable && isOfLaterEra(reply)) {
        // The rows follow upon a version that the store may have given out twice.
        noteAnswer();
        readAnew();
        return;
    }
    if (reply.status == TableFeedReply::Status::Unavailable || isOfEarlierEra(reply)) {
        retryLater();
        return;
    }
    noteAnswer();
    if (reply.status == TableFeedReply::Status::HistoryGone) {
        logEvent(LogLevel::Info, "table_history_gone",
                 {{"table", options_.table}, {"since", std::to_string(version_.value())}});
        needsRead_ = true;
        read();
        return;
    }
    // The store had the wanted version when it was asked, so without a change up to there none is missing.
    const auto complete = reply.rows.empty() ? std::max(reply.version, wanted) : reply.version;
    const bool hasAdvanced = complete > version_;
    version_ = std::max(version_, complete);
    noteRows(reply.rows);
    if (!reply.rows.empty()) {
        callbacks_.changes(reply.rows);
    }
    if (hasAdvanced) {
        callbacks_.advanced();
    }
    if (std::exchange(skipsNextPause_, false) || reply.rows.empty() || isBehind()) {
        watch();
    } else {
        timer_.startOnce(options_.changePause);
    }
}

void TableFollower::noteAnswer()
{
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
