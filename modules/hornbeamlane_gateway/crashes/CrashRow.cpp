#include "hornbeamlane_gateway/crashes/CrashRow.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

/** Size of the record of a crash, in traits. */
std::size_t traitsIn(const ServerCrash &crash)
{
    constexpr std::size_t ofRecord = 8;
    constexpr std::size_t ofCandidate = 4;
    constexpr std::size_t ofSoundRequest = 2;
    std::size_t sum = ofRecord + crash.cleared.size() + crash.begunBefore.size();
    sum += ofSoundRequest * crash.soundSince.size();
    for (const auto &candidate : crash.candidates) {
        sum += ofCandidate + candidate.traits.parts.size();
    }
    return sum;
}

} // namespace

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
    for (auto crash : *crashes) {
        // Times of day differ between hosts, so what an entry has told by message is closer.
        if (const auto known = evidence_.timeOf(crash.id)) {
            crash.at = std::max(crash.at, *known);
        }
        const auto news = evidence_.learn(crash, now);
        hooks_.told(crash, news);
        hasChanged = hasChanged || news == CrashNews::New || news == CrashNews::More;
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

void CrashRow::onRestored()
{
    version_ = RowVersion(0);
    rowDigest_ = 0;
    writtenDigest_ = 0;
    isWriteOutdated_ = isWriting_;
    check();
}

void CrashRow::check()
{
    if (isUpToDate()) {
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

std::vector<ServerCrash> CrashRow::crashesToKeep() const
{
    const auto &all = evidence_.crashes();
    std::vector<ServerCrash> settled;
    std::vector<ServerCrash> kept;
    for (const auto &crash : all) {
        (isSettled(crash, all) ? settled : kept).push_back(crash);
    }
    const auto isNewer = [](const ServerCrash &a, const ServerCrash &b) { return a.at > b.at; };
    std::sort(kept.begin(), kept.end(), isNewer);
    std::sort(settled.begin(), settled.end(), isNewer);
    kept.insert(kept.end(), settled.begin(), settled.end());
    std::size_t sum = 0;
    const auto tooMuch = std::find_if(kept.begin(), kept.end(), [&](const ServerCrash &crash) {
        sum += traitsIn(crash);
        return sum > options_.maxTraits;
    });
    kept.erase(tooMuch, kept.end());
    return kept;
}

bool CrashRow::isUpToDate() const
{
    return evidence_.digest() == rowDigest_ || digestOf(crashesToKeep()) == rowDigest_;
}

void CrashRow::write()
{
    isWaiting_ = false;
    const auto crashes = crashesToKeep();
    const auto digest = digestOf(crashes);
    if (digest == rowDigest_ || isWriting_) {
        return;
    }
    isWriting_ = true;
    hooks_.write(encodeCrashRow(crashes, loop_.now(), hooks_.timeOfDay()), version_,
                 [this, digest](const TableReply &reply) { handleWritten(digest, reply); });
}

void CrashRow::handleWritten(std::uint64_t digest, const TableReply &reply)
{
    isWriting_ = false;
    const bool isOk = !std::exchange(isWriteOutdated_, false) && reply.status == TableStatus::Ok && reply.row;
    logEvent(LogLevel::Info, "crash_row_written",
             {{"outcome", isOk ? "ok" : "failed"}, {"crashes", std::to_string(evidence_.crashes().size())}});
    const auto longerPause = std::clamp(pause_ * 2, options_.firstPause, options_.maxPause);
    if (isOk) {
        // Writing the same again means that another entry has overwritten it, which knows something else.
        pause_ = digest == writtenDigest_ ? longerPause : std::chrono::milliseconds(0);
        writtenDigest_ = digest;
        version_ = std::max(version_, reply.row->version);
        rowDigest_ = digest;
    } else {
        // After a conflict the feed brings the row that was written meanwhile.
        pause_ = longerPause;
    }
    check();
}

} // namespace hornbeamlane
