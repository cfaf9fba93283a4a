#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>

namespace hornbeamlane {

namespace {

/** Longest age that a record can state; far more than any crash counts. */
constexpr std::chrono::hours longestAge{24};

} // namespace

CrashId CrashName::id() const
{
    return CrashId(hash64(std::to_string(server.value()) + "/" + std::to_string(number)));
}

bool ServerCrash::hasHead() const
{
    return std::any_of(candidates.begin(), candidates.end(), [](const CrashCandidate &one) { return one.hadHead; });
}

std::vector<const CrashCandidate *> ServerCrash::likelyCandidates() const
{
    const bool anyHead = hasHead();
    std::vector<const CrashCandidate *> likely;
    for (const auto &candidate : candidates) {
        if (candidate.hadHead || !anyHead) {
            likely.push_back(&candidate);
        }
    }
    return likely;
}

bool ServerCrash::isCleared(TraitHash trait) const
{
    return containsTrait(cleared, trait);
}

bool ServerCrash::hadBegunBefore(TraitHash trait) const
{
    return containsTrait(begunBefore, trait);
}

bool ServerCrash::isOutweighed(TraitHash origin) const
{
    const auto count = std::count_if(soundSince.begin(), soundSince.end(),
                                     [origin](const SoundRequest &sound) { return sound.origin == origin; });
    return static_cast<std::size_t>(count) >= soundRequestsToClear;
}

bool ServerCrash::addSound(const SoundRequest &request)
{
    if (std::find(soundSince.begin(), soundSince.end(), request) != soundSince.end()) {
        return false;
    }
    if (!isOutweighed(request.origin)) {
        soundSince.push_back(request);
        return true;
    }
    // Entries see different requests at the same time: all keep the same ones, or they would never agree.
    const auto isLess = [&request](const SoundRequest &a, const SoundRequest &b) {
        return std::pair(a.origin == request.origin, a.whole) < std::pair(b.origin == request.origin, b.whole);
    };
    const auto last = std::max_element(soundSince.begin(), soundSince.end(), isLess);
    if (*last < request) {
        return false;
    }
    *last = request;
    return true;
}

CrashRecord toRecord(const ServerCrash &crash, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at);
    return {.id = crash.id,
            .server = crash.name.server,
            .number = crash.name.number,
            .age = std::max(age, std::chrono::milliseconds(0)),
            .candidates = crash.candidates,
            .cleared = crash.cleared,
            .begunBefore = crash.begunBefore,
            .soundSince = crash.soundSince,
            .isConfirmed = crash.isConfirmed,
            .isRefuted = crash.isRefuted};
}

ServerCrash fromRecord(const CrashRecord &record, TimePoint now)
{
    const auto age = std::clamp<std::chrono::milliseconds>(record.age, std::chrono::milliseconds(0), longestAge);
    return {.id = record.id,
            .at = now - age,
            .name = {.server = record.server, .number = record.number},
            .candidates = record.candidates,
            .cleared = record.cleared,
            .begunBefore = record.begunBefore,
            .soundSince = record.soundSince,
            .isConfirmed = record.isConfirmed,
            .isRefuted = record.isRefuted};
}

namespace {

bool wasAtAnotherCrash(TraitHash whole, const ServerCrash &crash, const std::vector<ServerCrash> &all)
{
    return std::any_of(all.begin(), all.end(), [&](const ServerCrash &other) {
        return other.id != crash.id && !other.isCleared(whole)
            && std::any_of(other.candidates.begin(), other.candidates.end(),
                           [whole](const CrashCandidate &one) { return one.traits.whole == whole; });
    });
}

} // namespace

bool isSettled(const ServerCrash &crash, const std::vector<ServerCrash> &all)
{
    const auto isRepeated = [&](const CrashCandidate &candidate) {
        const auto whole = candidate.traits.whole;
        return !crash.isCleared(whole) && wasAtAnotherCrash(whole, crash, all);
    };
    const auto mayBeCause = [&crash](const CrashCandidate *candidate) {
        const auto &parts = candidate->traits.parts;
        return parts.empty()
            ? !crash.isCleared(candidate->traits.whole)
            : std::any_of(parts.begin(), parts.end(), [&crash](TraitHash part) { return !crash.isCleared(part); });
    };
    const auto likely = crash.likelyCandidates();
    const bool provesAlone = !crash.isVoid() && std::any_of(likely.begin(), likely.end(), mayBeCause);
    return !provesAlone && std::none_of(crash.candidates.begin(), crash.candidates.end(), isRepeated);
}

namespace {

/** Traits of the requests at a crash, each once, that have not been cleared of it. */
std::unordered_set<TraitHash> openTraits(const ServerCrash &crash)
{
    std::unordered_set<TraitHash> traits;
    for (const auto &candidate : crash.candidates) {
        traits.insert(candidate.traits.whole);
        traits.insert(candidate.traits.parts.begin(), candidate.traits.parts.end());
    }
    for (const auto trait : crash.cleared) {
        traits.erase(trait);
    }
    return traits;
}

} // namespace

TraitHistory::TraitHistory(const std::vector<ServerCrash> &crashes)
{
    for (const auto &crash : crashes) {
        for (const auto trait : openTraits(crash)) {
            auto &occurrences = traits_[trait];
            ++occurrences.crashes;
            occurrences.lastAt = std::max(occurrences.lastAt, crash.at);
        }
    }
}

bool TraitHistory::mayComeAgain(const ServerCrash &crash) const
{
    const auto traits = openTraits(crash);
    const bool isRepeated = std::any_of(traits.begin(), traits.end(), [this](TraitHash trait) {
        const auto found = traits_.find(trait);
        return found != traits_.end() && found->second.crashes > 1;
    });
    return isRepeated
        || std::any_of(crash.candidates.begin(), crash.candidates.end(), [&crash](const CrashCandidate &candidate) {
               return candidate.traits.parts.empty() && !crash.isCleared(candidate.traits.whole);
           });
}

TimePoint TraitHistory::lastLike(const ServerCrash &crash) const
{
    auto last = crash.at;
    for (const auto trait : openTraits(crash)) {
        if (const auto found = traits_.find(trait); found != traits_.end()) {
            last = std::max(last, found->second.lastAt);
        }
    }
    return last;
}

} // namespace hornbeamlane
