#include "hornbeamlane_gateway/crashes/CrashMessage.h"

#include "hornbeamlane_messages/codec/CborBounds.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int crashMessageVersion = 1;
constexpr const char *crashMessageKind = "crashes";

/** Bounds on what is read; a sender keeps within those of CrashEvidence. */
constexpr std::size_t maxCrashes = 256;
constexpr std::size_t maxCandidates = 64;
constexpr std::size_t maxTraits = 1024;
constexpr std::uint64_t maxAge = 24ULL * 3600 * 1000;

Json listOf(const std::vector<TraitHash> &traits)
{
    auto list = Json::array();
    for (const auto trait : traits) {
        list.push_back(trait.value());
    }
    return list;
}

Json toJson(const ServerCrash &crash, TimePoint now)
{
    auto candidates = Json::array();
    for (const auto &candidate : crash.candidates) {
        candidates.push_back(
            {{"w", candidate.traits.whole.value()}, {"h", candidate.hadHead}, {"p", listOf(candidate.traits.parts)}});
    }
    const auto age = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - crash.at));
    return {{"i", crash.id.value()},
            {"a", age.count()},
            {"c", candidates},
            {"x", listOf(crash.cleared)},
            {"b", listOf(crash.begunBefore)}};
}

std::optional<std::uint64_t> numberOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? std::optional(found->get<std::uint64_t>())
                                                                : std::nullopt;
}

const Json *listIn(const Json &object, const char *name, std::size_t most)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_array() && found->size() <= most ? &*found : nullptr;
}

std::optional<std::vector<TraitHash>> traitsIn(const Json &object, const char *name)
{
    const auto *list = listIn(object, name, maxTraits);
    if (list == nullptr) {
        return std::nullopt;
    }
    std::vector<TraitHash> traits;
    for (const auto &number : *list) {
        if (!number.is_number_unsigned()) {
            return std::nullopt;
        }
        traits.emplace_back(number.get<std::uint64_t>());
    }
    return traits;
}

std::optional<CrashCandidate> candidateOf(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto whole = numberOf(object, "w");
    auto parts = traitsIn(object, "p");
    if (!whole || !parts || !object.contains("h") || !object["h"].is_boolean()) {
        return std::nullopt;
    }
    return CrashCandidate{.traits = {.whole = TraitHash(*whole), .parts = std::move(*parts)},
                          .hadHead = object["h"].get<bool>()};
}

std::optional<ServerCrash> crashOf(const Json &object, TimePoint now)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto id = numberOf(object, "i");
    const auto age = numberOf(object, "a");
    const auto *candidates = listIn(object, "c", maxCandidates);
    auto cleared = traitsIn(object, "x");
    auto begunBefore = traitsIn(object, "b");
    if (!id || !age || *age > maxAge || candidates == nullptr || !cleared || !begunBefore) {
        return std::nullopt;
    }
    ServerCrash crash{.id = CrashId(*id),
                      .at = now - milliseconds(*age),
                      .cleared = std::move(*cleared),
                      .begunBefore = std::move(*begunBefore)};
    for (const auto &item : *candidates) {
        auto candidate = candidateOf(item);
        if (!candidate) {
            return std::nullopt;
        }
        crash.candidates.push_back(std::move(*candidate));
    }
    return crash;
}

std::optional<std::vector<ServerCrash>> crashesIn(const Json &document, TimePoint now)
{
    const auto *list = listIn(document, "c", maxCrashes);
    if (list == nullptr) {
        return std::nullopt;
    }
    std::vector<ServerCrash> crashes;
    for (const auto &item : *list) {
        auto crash = crashOf(item, now);
        if (!crash) {
            return std::nullopt;
        }
        crashes.push_back(std::move(*crash));
    }
    return crashes;
}

std::optional<std::vector<TrialClaim>> claimsIn(const Json &document)
{
    const auto *list = listIn(document, "t", maxTraits);
    if (list == nullptr) {
        return std::nullopt;
    }
    std::vector<TrialClaim> claims;
    for (const auto &item : *list) {
        const auto trait = item.is_object() ? numberOf(item, "w") : std::nullopt;
        if (trait) {
            claims.push_back({.trait = TraitHash(*trait), .isRunning = item.contains("r") && item["r"] == true});
        }
    }
    return claims;
}

std::string toBytes(const Json &document)
{
    std::string bytes;
    Json::to_cbor(document, bytes);
    return bytes;
}

/** The document if it has the given kind and version. */
std::optional<Json> parse(std::string_view bytes)
{
    if (detail::checkCborBounds(bytes) != DecodeFailure::None) {
        return std::nullopt;
    }
    auto document = Json::from_cbor(bytes, true, false);
    const bool isKnown = document.is_object() && document.contains("k") && document["k"] == crashMessageKind
        && document.contains("v") && document["v"] == crashMessageVersion;
    return isKnown ? std::optional(std::move(document)) : std::nullopt;
}

Json documentOf(const std::vector<ServerCrash> &crashes, TimePoint now)
{
    auto list = Json::array();
    for (const auto &crash : crashes) {
        list.push_back(toJson(crash, now));
    }
    return {{"v", crashMessageVersion}, {"k", crashMessageKind}, {"c", std::move(list)}};
}

std::int64_t millisecondsOf(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace

std::string encodeCrashMessage(const CrashMessage &message, TimePoint now)
{
    auto document = documentOf(message.crashes, now);
    document["n"] = message.sender.value();
    document["s"] = message.sequence;
    if (message.claims) {
        auto claims = Json::array();
        for (const auto &claim : *message.claims) {
            claims.push_back({{"w", claim.trait.value()}, {"r", claim.isRunning}});
        }
        document["t"] = std::move(claims);
    }
    return toBytes(document);
}

std::optional<CrashMessage> decodeCrashMessage(std::string_view bytes, TimePoint now)
{
    const auto document = parse(bytes);
    if (!document) {
        return std::nullopt;
    }
    const auto sender = numberOf(*document, "n");
    const auto sequence = numberOf(*document, "s");
    auto crashes = crashesIn(*document, now);
    if (!sender || !sequence || !crashes) {
        return std::nullopt;
    }
    return CrashMessage{.sender = Incarnation(*sender),
                        .sequence = *sequence,
                        .crashes = std::move(*crashes),
                        .claims = claimsIn(*document)};
}

std::string encodeCrashRow(const std::vector<ServerCrash> &crashes, TimePoint now,
                           std::chrono::system_clock::time_point timeOfDay)
{
    auto document = documentOf(crashes, now);
    document["d"] = millisecondsOf(timeOfDay);
    return toBytes(document);
}

std::optional<std::vector<ServerCrash>> decodeCrashRow(std::string_view bytes, TimePoint now,
                                                       std::chrono::system_clock::time_point timeOfDay)
{
    const auto document = parse(bytes);
    const auto writtenAt = document ? numberOf(*document, "d") : std::nullopt;
    if (!writtenAt) {
        return std::nullopt;
    }
    // Times of day differ between hosts and may jump; a row from the future counts as new.
    const auto age = milliseconds(
        std::clamp<std::int64_t>(millisecondsOf(timeOfDay) - static_cast<std::int64_t>(*writtenAt), 0, maxAge));
    return crashesIn(*document, now - age);
}

} // namespace hornbeamlane
