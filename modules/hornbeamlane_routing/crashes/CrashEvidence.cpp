#include "hornbeamlane_routing/crashes/CrashEvidence.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace hornbeamlane {

namespace {

/** Adds the trait if it is not there; true if it was added. */
bool addTo(std::vector<TraitHash> &traits, TraitHash trait)
{
    if (containsTrait(traits, trait)) {
        return false;
    }
    traits.push_back(trait);
    return true;
}

bool hasAll(const RequestTraits &traits, const std::vector<TraitHash> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&traits](TraitHash trait) { return hasTrait(traits, trait); });
}

bool isOfCandidate(const ServerCrash &crash, TraitHash trait)
{
    return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                       [trait](const CrashCandidate &candidate) { return hasTrait(candidate.traits, trait); });
}

/** Which of the requests at a crash are remembered rather. All entries decide alike, or they would tell each other the
 * same for ever. */
class CandidateRank final
{
public:
    explicit CandidateRank(CrashId crash)
        : crash_(crash)
    {
    }

    bool operator()(const CrashCandidate &a, const CrashCandidate &b) const
    {
        // One whose answer had begun says more than one that the server may not even have looked at.
        return std::pair(!a.hadHead, drawn(a)) < std::pair(!b.hadHead, drawn(b));
    }

private:
    /** Drawn anew for each crash: no request is left out of all of them. */
    std::uint64_t drawn(const CrashCandidate &candidate) const
    {
        const std::array<std::uint64_t, 2> numbers{crash_.value(), candidate.traits.whole.value()};
        return hash64({reinterpret_cast<const char *>(numbers.data()), sizeof(numbers)});
    }

    CrashId crash_;
};

enum class FactKind : std::uint64_t { Candidate = 1, Head, Part, Cleared, BegunBefore, Confirmed, Sound, Refuted };

std::uint64_t hashOfFact(FactKind kind, CrashId crash, TraitHash trait, TraitHash more = TraitHash())
{
    const std::array<std::uint64_t, 4> numbers{static_cast<std::uint64_t>(kind), crash.value(), trait.value(),
                                               more.value()};
    return hash64({reinterpret_cast<const char *>(numbers.data()), sizeof(numbers)});
}

std::uint64_t hashOfFacts(const ServerCrash &crash)
{
    std::uint64_t sum = crash.isConfirmed ? hashOfFact(FactKind::Confirmed, crash.id, TraitHash()) : 0;
    sum ^= crash.isRefuted ? hashOfFact(FactKind::Refuted, crash.id, TraitHash()) : 0;
    for (const auto &candidate : crash.candidates) {
        const auto whole = candidate.traits.whole;
        sum ^= hashOfFact(FactKind::Candidate, crash.id, whole);
        sum ^= candidate.hadHead ? hashOfFact(FactKind::Head, crash.id, whole) : 0;
        for (const auto part : candidate.traits.parts) {
            sum ^= hashOfFact(FactKind::Part, crash.id, whole, part);
        }
    }
    for (const auto trait : crash.cleared) {
        sum ^= hashOfFact(FactKind::Cleared, crash.id, trait);
    }
    for (const auto trait : crash.begunBefore) {
        sum ^= hashOfFact(FactKind::BegunBefore, crash.id, trait);
    }
    for (const auto &sound : crash.soundSince) {
        sum ^= hashOfFact(FactKind::Sound, crash.id, sound.origin, sound.whole);
    }
    return sum;
}

} // namespace

std::string_view toString(CrashNews news)
{
    switch (news) {
    case CrashNews::New:
        return "new";
    case CrashNews::More:
        return "more";
    case CrashNews::Known:
        return "known";
    case CrashNews::WithoutRequests:
        return "without_requests";
    case CrashNews::Settled:
        return "settled";
    case CrashNews::Expired:
        return "expired";
    case CrashNews::NoRoom:
        return "no_room";
    }
    return "unknown";
}

CrashEvidence::CrashEvidence()
    : CrashEvidence(Options())
{
}

CrashEvidence::CrashEvidence(Options options)
    : options_(options)
    , begunParts_(options.maxBegun)
    , begunRequests_(options.maxBegun)
{
}

CrashEvidence::Verdict CrashEvidence::judge(const RequestTraits &traits, TimePoint now)
{
    if (crashes_.empty()) {
        return Verdict::Allowed;
    }
    if (!culpritsOf(traits, now).empty()) {
        return Verdict::Quarantined;
    }
    return suspectsAmong(traits, now).empty() ? Verdict::Allowed : Verdict::Suspect;
}

std::vector<TraitHash> CrashEvidence::suspectsAmong(const RequestTraits &traits, TimePoint now)
{
    const auto &suspects = findings(now).suspects;
    std::vector<TraitHash> found;
    const auto look = [&](TraitHash trait) {
        if (std::binary_search(suspects.begin(), suspects.end(), trait)) {
            found.push_back(trait);
        }
    };
    look(traits.whole);
    std::for_each(traits.parts.begin(), traits.parts.end(), look);
    if (traits.origin) {
        look(*traits.origin);
    }
    return found;
}

std::vector<Culprit> CrashEvidence::culpritsOf(const RequestTraits &traits, TimePoint now)
{
    std::vector<Culprit> found;
    for (const auto &culprit : findings(now).culprits) {
        if (hasAll(traits, culprit.traits)) {
            found.push_back(culprit);
        }
    }
    return found;
}

const CrashFindings &CrashEvidence::findings(TimePoint now)
{
    if (std::exchange(isOutdated_, false) || (findings_.changesAt && now >= *findings_.changesAt)) {
        findings_ = findCulprits(crashes_, options_.rules, now);
    }
    return findings_;
}

std::optional<CrashNews> CrashEvidence::reasonToLeaveOut(const ServerCrash &crash, const std::vector<ServerCrash> &all,
                                                         TimePoint now) const
{
    if (crash.candidates.empty()) {
        return CrashNews::WithoutRequests;
    }
    if (isSettled(crash, all)) {
        return CrashNews::Settled;
    }
    if (hasExpired(crash, all, TraitHistory(all), now)) {
        return CrashNews::Expired;
    }
    return isLeast(crash) ? std::optional(CrashNews::NoRoom) : std::nullopt;
}

bool CrashEvidence::onCrash(const ServerCrash &crash, TimePoint now)
{
    const auto news = learn(crash, now);
    return news == CrashNews::New || news == CrashNews::More;
}

CrashNews CrashEvidence::learn(const ServerCrash &crash, TimePoint now)
{
    if (find(crash.id) != nullptr) {
        return add(crash) ? CrashNews::More : CrashNews::Known;
    }
    auto all = crashes_;
    all.insert(all.end(), setAside_.begin(), setAside_.end());
    if (const auto reason = reasonToLeaveOut(crash, all, now)) {
        if ((reason == CrashNews::Settled || reason == CrashNews::Expired) && setAside_.size() < options_.maxCrashes) {
            setAside_.push_back(crash);
        }
        return *reason;
    }
    add(crash);
    takeUpSetAside(now);
    return CrashNews::New;
}

void CrashEvidence::takeUpSetAside(TimePoint now)
{
    auto all = crashes_;
    all.insert(all.end(), setAside_.begin(), setAside_.end());
    for (const auto &crash : std::exchange(setAside_, {})) {
        if (reasonToLeaveOut(crash, all, now)) {
            setAside_.push_back(crash);
        } else {
            add(crash);
        }
    }
}

bool CrashEvidence::add(const ServerCrash &crash)
{
    bool isNew = find(crash.id) == nullptr;
    auto &known = findOrAdd(crash);
    known.at = std::min(known.at, crash.at);
    for (const auto &candidate : crash.candidates) {
        isNew = addCandidate(known, candidate) || isNew;
    }
    for (const auto trait : crash.cleared) {
        isNew = addTo(known.cleared, trait) || isNew;
    }
    for (const auto trait : crash.begunBefore) {
        isNew = addTo(known.begunBefore, trait) || isNew;
    }
    for (const auto &sound : crash.soundSince) {
        isNew = known.addSound(sound) || isNew;
    }
    isNew = (crash.isConfirmed && !std::exchange(known.isConfirmed, true)) || isNew;
    isNew = (crash.isRefuted && !std::exchange(known.isRefuted, true)) || isNew;
    isNew = markBegunBefore(known) || isNew;
    noteChange(isNew);
    return isNew;
}

void CrashEvidence::noteChange(bool hasChanged)
{
    if (!hasChanged) {
        return;
    }
    isOutdated_ = true;
    digest_.reset();
    watched_.clear();
    for (const auto &crash : crashes_) {
        for (const auto &candidate : crash.candidates) {
            watched_.insert(candidate.traits.whole);
            watched_.insert(candidate.traits.parts.begin(), candidate.traits.parts.end());
            if (candidate.traits.origin) {
                watched_.insert(*candidate.traits.origin);
            }
        }
    }
}

const ServerCrash *CrashEvidence::find(CrashId id) const
{
    const auto found =
        std::find_if(crashes_.begin(), crashes_.end(), [id](const ServerCrash &crash) { return crash.id == id; });
    return found == crashes_.end() ? nullptr : &*found;
}

ServerCrash *CrashEvidence::find(CrashId id)
{
    return const_cast<ServerCrash *>(std::as_const(*this).find(id));
}

void CrashEvidence::setServerCount(std::size_t servers)
{
    const auto share = static_cast<std::size_t>(options_.shareTogether * static_cast<double>(servers));
    const auto most = std::max(CrashRules().mostTogether, share);
    isOutdated_ = isOutdated_ || most != options_.rules.mostTogether;
    options_.rules.mostTogether = most;
}

CrashName CrashEvidence::nameOf(ServerKey server, TimePoint sentAt) const
{
    const ServerCrash *first = nullptr;
    CrashName next{.server = server};
    for (const auto &crash : crashes_) {
        if (crash.name.server != server) {
            continue;
        }
        next.number = std::max(next.number, crash.name.number + 1);
        if (crash.at >= sentAt && (first == nullptr || crash.at < first->at)) {
            first = &crash;
        }
    }
    return first == nullptr ? next : first->name;
}

std::optional<TimePoint> CrashEvidence::timeOf(CrashId id) const
{
    const auto *crash = find(id);
    return crash == nullptr ? std::nullopt : std::optional(crash->at);
}

const ServerCrash *CrashEvidence::lastCrashOf(ServerKey server, TimePoint before) const
{
    const ServerCrash *last = nullptr;
    for (const auto &crash : crashes_) {
        if (crash.name.server == server && crash.at < before && (last == nullptr || crash.at > last->at)) {
            last = &crash;
        }
    }
    return last;
}

bool CrashEvidence::onConfirmed(CrashId id)
{
    auto *crash = find(id);
    const bool isNew = crash != nullptr && !std::exchange(crash->isConfirmed, true);
    noteChange(isNew);
    return isNew;
}

bool CrashEvidence::onRefuted(CrashId id)
{
    auto *crash = find(id);
    const bool isNew = crash != nullptr && !std::exchange(crash->isRefuted, true);
    noteChange(isNew);
    return isNew;
}

ServerCrash &CrashEvidence::findOrAdd(const ServerCrash &crash)
{
    if (auto *known = find(crash.id)) {
        return *known;
    }
    makeRoom();
    return crashes_.emplace_back(ServerCrash{.id = crash.id, .at = crash.at, .name = crash.name});
}

bool CrashEvidence::isLess(const ServerCrash &a, const ServerCrash &b) const
{
    // A settled crash goes before an open one, a doubtful one before a likely one, an older one before a newer one.
    return std::tuple(!isSettled(a, crashes_), isLikely(a), a.at)
        < std::tuple(!isSettled(b, crashes_), isLikely(b), b.at);
}

bool CrashEvidence::isLeast(const ServerCrash &crash) const
{
    return crashes_.size() >= options_.maxCrashes
        && std::all_of(crashes_.begin(), crashes_.end(),
                       [&](const ServerCrash &known) { return isLess(crash, known); });
}

void CrashEvidence::makeRoom()
{
    if (crashes_.size() < options_.maxCrashes) {
        return;
    }
    const auto least = std::min_element(crashes_.begin(), crashes_.end(),
                                        [this](const ServerCrash &a, const ServerCrash &b) { return isLess(a, b); });
    crashes_.erase(least);
}

bool CrashEvidence::addCandidate(ServerCrash &crash, const CrashCandidate &candidate)
{
    auto &candidates = crash.candidates;
    const auto known = std::find_if(candidates.begin(), candidates.end(), [&candidate](const CrashCandidate &one) {
        return one.traits.whole == candidate.traits.whole;
    });
    if (known != candidates.end()) {
        return merge(*known, candidate);
    }
    const CrashCandidate kept{
        .traits = {.whole = candidate.traits.whole, .parts = partsToKeep(candidate), .origin = candidate.traits.origin},
        .hadHead = candidate.hadHead};
    if (candidates.size() < options_.maxCandidates) {
        candidates.push_back(kept);
        return true;
    }
    const CandidateRank isWorthMore(crash.id);
    const auto least = std::max_element(candidates.begin(), candidates.end(), isWorthMore);
    if (!isWorthMore(kept, *least)) {
        return false;
    }
    *least = kept;
    return true;
}

bool CrashEvidence::merge(CrashCandidate &known, const CrashCandidate &candidate) const
{
    bool isNew = candidate.hadHead && !std::exchange(known.hadHead, true);
    // Entries may remember different parts of a long list; any order between them will do that is the same for all.
    if (const auto parts = partsToKeep(candidate); parts < known.traits.parts) {
        known.traits.parts = parts;
        isNew = true;
    }
    return isNew;
}

std::vector<TraitHash> CrashEvidence::partsToKeep(const CrashCandidate &candidate) const
{
    auto parts = candidate.traits.parts;
    if (parts.size() > options_.maxParts) {
        std::stable_partition(parts.begin(), parts.end(),
                              [this](TraitHash part) { return !begunParts_.contains(part); });
        parts.resize(options_.maxParts);
    }
    return parts;
}

bool CrashEvidence::markBegunBefore(ServerCrash &crash) const
{
    bool isNew = false;
    for (const auto &candidate : crash.candidates) {
        const auto whole = candidate.traits.whole;
        isNew = (begunRequests_.contains(whole) && addTo(crash.begunBefore, whole)) || isNew;
        for (const auto part : candidate.traits.parts) {
            isNew = (begunParts_.contains(part) && addTo(crash.begunBefore, part)) || isNew;
        }
    }
    return isNew;
}

bool CrashEvidence::onAnswerBegun(const RequestTraits &traits, std::vector<CrashId> &cleared)
{
    const auto clear = [this, &cleared](TraitHash trait) {
        if (!watched_.contains(trait)) {
            return;
        }
        for (auto &crash : crashes_) {
            if (isOfCandidate(crash, trait) && addTo(crash.cleared, trait)) {
                cleared.push_back(crash.id);
            }
        }
    };
    clear(traits.whole);
    for (const auto part : traits.parts) {
        clear(part);
    }
    begunRequests_.add(traits.whole);
    for (const auto part : traits.parts) {
        begunParts_.add(part);
    }
    if (const auto outweighed = noteSound(traits)) {
        cleared.push_back(*outweighed);
    }
    noteChange(!cleared.empty());
    return !cleared.empty();
}

std::optional<CrashId> CrashEvidence::noteSound(const RequestTraits &traits)
{
    if (!traits.origin || !watched_.contains(*traits.origin)) {
        return std::nullopt;
    }
    const auto origin = *traits.origin;
    ServerCrash *oldest = nullptr;
    for (auto &crash : crashes_) {
        const bool isOpen = isOfCandidate(crash, origin) && !crash.isOutweighed(origin);
        if (isOpen && (oldest == nullptr || std::pair(crash.at, crash.id) < std::pair(oldest->at, oldest->id))) {
            oldest = &crash;
        }
    }
    if (oldest == nullptr || !oldest->addSound({.origin = origin, .whole = traits.whole})) {
        return std::nullopt;
    }
    return oldest->id;
}

std::vector<ServerCrash> CrashEvidence::expire(TimePoint now)
{
    setAside_.clear();
    const TraitHistory history(crashes_);
    std::vector<ServerCrash> kept;
    std::vector<ServerCrash> expired;
    for (const auto &crash : crashes_) {
        (hasExpired(crash, crashes_, history, now) ? expired : kept).push_back(crash);
    }
    if (!expired.empty()) {
        crashes_ = std::move(kept);
        noteChange(true);
    }
    return expired;
}

bool CrashEvidence::hasExpired(const ServerCrash &crash, const std::vector<ServerCrash> &all,
                               const TraitHistory &history, TimePoint now) const
{
    const auto age = now - crash.at;
    // A request may come again so seldom that its doubtful crashes lie far apart.
    const bool isDoubtful = !isLikely(crash) && age >= 2 * options_.rules.doubt && !history.mayComeAgain(crash);
    // A settled crash may still tell of a request that is repeated as a whole.
    const auto settledBound = std::max(options_.settledTime, options_.rules.suspicion);
    const bool isPast = now - history.lastLike(crash) >= options_.rules.quarantine;
    return isPast || isDoubtful || (age >= settledBound && isSettled(crash, all));
}

std::uint64_t CrashEvidence::digest() const
{
    if (!digest_) {
        digest_ = digestOf(crashes_);
    }
    return *digest_;
}

std::uint64_t digestOf(const std::vector<ServerCrash> &crashes)
{
    std::uint64_t sum = 0;
    for (const auto &crash : crashes) {
        sum ^= isSettled(crash, crashes) ? 0 : hashOfFacts(crash);
    }
    return sum;
}

} // namespace hornbeamlane
