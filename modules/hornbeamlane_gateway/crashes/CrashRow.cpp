#include "hornbeamlane_gateway/crashes/CrashRow.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

CrashRow::CrashRow(EventLoop &loop, RandomSource &random, CrashEvidence &evidence, Options options, Hooks hooks)
    : loop_(loop)
    , random_(random)
    , evidence_(evidence)
    , options_(options)
    , hooks_(std::move(hooks))
    , timer_(loop, [this] { write(); })
{
}

void CrashRow::onRow(const std::string &value, RowVersion version)
{
    if (version < version_) {
        return;
    }
    version_ = version;
    const auto now = loop_.now();
    const auto crashes = decodeCrashRow(value, now, hooks_.timeOfDay());
    if (!crashes) {
        logEvent(LogLevel::Warning, "crash_row_unreadable",
                 {{"version", std::to_string(version.value())}, {"bytes", std::to_string(value.size())}});
        rowDigest_ = 0;
        check();
        return;
    }
    rowDigest_ = digestOf(*crashes);
    bool hasChanged = false;
    for (const auto &crash : *crashes) {
        hasChanged = evidence_.onCrash(crash, now) || hasChanged;
    }
    if (hasChanged) {
        hooks_.changed();
    }
    check();
}

void CrashRow::onRowRemoved()
{
    version_ = RowVersion(0);
    rowDigest_ = 0;
    check();
}

void CrashRow::check()
{
    if (evidence_.digest() == rowDigest_) {
        timer_.stop();
        isWaiting_ = false;
        return;
    }
    if (isWaiting_ || isWriting_) {
        return;
    }
    isWaiting_ = true;
    const auto range = static_cast<std::uint64_t>((options_.toDelay - options_.fromDelay).count());
    timer_.startOnce(std::max(pause_, options_.fromDelay + std::chrono::milliseconds(random_.below(range))));
}

std::string CrashRow::encode() const
{
    auto crashes = evidence_.crashes();
    // The newest crashes are worth most; they stand at the end.
    std::sort(crashes.begin(), crashes.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    auto value = encodeCrashRow(crashes, loop_.now(), hooks_.timeOfDay());
    while (value.size() > options_.maxBytes && !crashes.empty()) {
        crashes.erase(crashes.begin());
        value = encodeCrashRow(crashes, loop_.now(), hooks_.timeOfDay());
    }
    return value;
}

void CrashRow::write()
{
    isWaiting_ = false;
    const auto digest = evidence_.digest();
    if (digest == rowDigest_ || isWriting_) {
        return;
    }
    isWriting_ = true;
    hooks_.write(encode(), version_, [this, digest](const TableReply &reply) { handleWritten(digest, reply); });
}

void CrashRow::handleWritten(std::uint64_t digest, const TableReply &reply)
{
    isWriting_ = false;
    const bool isOk = reply.status == TableStatus::Ok && reply.row;
    logEvent(LogLevel::Info, "crash_row_written",
             {{"outcome", isOk ? "ok" : "failed"}, {"crashes", std::to_string(evidence_.crashes().size())}});
    if (isOk) {
        pause_ = std::chrono::milliseconds(0);
        version_ = std::max(version_, reply.row->version);
        rowDigest_ = digest;
    } else {
        // After a conflict the feed brings the row that was written meanwhile.
        pause_ = std::clamp(pause_ * 2, options_.firstPause, options_.maxPause);
    }
    check();
}

} // namespace hornbeamlane
