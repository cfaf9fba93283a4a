#include "hornbeamlane_gateway/peers/PeerLoads.h"

#include "hornbeamlane_gateway/peers/ArrivalCodec.h"
#include "hornbeamlane_messages/codec/CborBounds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace hornbeamlane {

namespace {

constexpr int protocolVersion = 1;

/** Servers or services in one message at most; a datagram stays below the usual size of a frame up to about 200. */
constexpr std::size_t maxPairs = 4096;

using NumberPairs = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

nlohmann::json flatten(const NumberPairs &pairs)
{
    auto numbers = nlohmann::json::array();
    for (const auto &[name, value] : pairs) {
        numbers.push_back(name);
        numbers.push_back(value);
    }
    return numbers;
}

std::optional<NumberPairs> pairsFrom(const nlohmann::json &numbers)
{
    if (!numbers.is_array() || numbers.size() % 2 != 0 || numbers.size() > 2 * maxPairs) {
        return std::nullopt;
    }
    NumberPairs pairs;
    for (std::size_t i = 0; i < numbers.size(); i += 2) {
        if (!numbers[i].is_number_unsigned() || !numbers[i + 1].is_number_unsigned()) {
            return std::nullopt;
        }
        pairs.emplace_back(numbers[i].get<std::uint32_t>(), numbers[i + 1].get<std::uint32_t>());
    }
    return pairs;
}

/** Four numbers for each report: server, limit, age in milliseconds, requests sent. */
constexpr std::size_t numbersOfReport = 4;

/** Limits are told in thousandths of a request a second, plus one; zero tells that there is none any more. */
constexpr double rateScale = 1000;
constexpr double maxRate = 1e6;

std::int64_t ageOf(TimePoint time, TimePoint now)
{
    return std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count(), 0);
}

nlohmann::json encodeReports(const std::vector<RateLimitReport> &reports, TimePoint now)
{
    auto numbers = nlohmann::json::array();
    for (const auto &report : reports) {
        const auto rate = std::min(report.perSecond.value_or(0), maxRate) * rateScale;
        numbers.push_back(report.server);
        numbers.push_back(report.perSecond ? 1 + static_cast<std::uint64_t>(std::llround(rate)) : 0);
        numbers.push_back(ageOf(report.shownAt, now));
        numbers.push_back(report.sent);
    }
    return numbers;
}

std::vector<RateLimitReport> decodeReports(const nlohmann::json &numbers, TimePoint now)
{
    std::vector<RateLimitReport> reports;
    if (!numbers.is_array() || numbers.size() > numbersOfReport * maxPairs
        || !std::all_of(numbers.begin(), numbers.end(), [](const auto &one) { return one.is_number_unsigned(); })) {
        return reports;
    }
    for (std::size_t i = 0; i + numbersOfReport <= numbers.size(); i += numbersOfReport) {
        const auto rate = numbers[i + 1].get<std::uint64_t>();
        const std::chrono::milliseconds age(numbers[i + 2].get<std::uint32_t>());
        RateLimitReport report{.server = numbers[i].get<ServerStartHash>(),
                               .shownAt = now - age,
                               .sent = numbers[i + 3].get<std::uint32_t>()};
        if (rate > 0) {
            report.perSecond = static_cast<double>(rate - 1) / rateScale;
        }
        reports.push_back(report);
    }
    return reports;
}

/** Five numbers for each report: server, answers, requests, latency, deviation. */
constexpr std::size_t numbersOfLatency = 5;
constexpr double requestScale = 10;

std::uint32_t microseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

nlohmann::json encodeLatencies(const std::vector<LatencyReport> &reports)
{
    auto numbers = nlohmann::json::array();
    for (const auto &report : reports) {
        const auto requests = std::clamp(report.sample.inFlight, 0.0, maxRate) * requestScale;
        numbers.push_back(report.server);
        numbers.push_back(report.sample.answers);
        numbers.push_back(static_cast<std::uint32_t>(std::lround(requests)));
        numbers.push_back(microseconds(report.sample.latency));
        numbers.push_back(microseconds(report.sample.deviation));
    }
    return numbers;
}

std::vector<LatencyReport> decodeLatencies(const nlohmann::json &numbers)
{
    std::vector<LatencyReport> reports;
    if (!numbers.is_array() || numbers.size() > numbersOfLatency * maxPairs
        || !std::all_of(numbers.begin(), numbers.end(), [](const auto &one) { return one.is_number_unsigned(); })) {
        return reports;
    }
    for (std::size_t i = 0; i + numbersOfLatency <= numbers.size(); i += numbersOfLatency) {
        reports.push_back({.server = numbers[i].get<ServerStartHash>(),
                           .sample = {.latency = std::chrono::microseconds(numbers[i + 3].get<std::uint32_t>()),
                                      .deviation = std::chrono::microseconds(numbers[i + 4].get<std::uint32_t>()),
                                      .inFlight = numbers[i + 2].get<std::uint32_t>() / requestScale,
                                      .answers = numbers[i + 1].get<std::uint32_t>()}});
    }
    return reports;
}

bool hasVersion(const nlohmann::json &document)
{
    const auto version = document.find("v");
    return version != document.end() && *version == protocolVersion;
}

nlohmann::json encodeLoad(const LoadMessage &message, TimePoint now)
{
    nlohmann::json document = {{"v", protocolVersion},        {"n", message.sender},
                               {"s", message.sequence},       {"i", message.incarnation.value()},
                               {"m", message.isMapHolder},    {"l", flatten(message.inFlight)},
                               {"b", flatten(message.bounds)}};
    if (!message.rateLimits.empty()) {
        document["r"] = encodeReports(message.rateLimits, now);
    }
    if (!message.demands.empty()) {
        document["d"] = flatten(message.demands);
    }
    if (message.arrivals) {
        document["k"] = nlohmann::json::binary(encodeArrivals(*message.arrivals));
    }
    if (!message.latencies.empty()) {
        document["y"] = encodeLatencies(message.latencies);
    }
    return document;
}

std::optional<LoadMessage> decodeLoad(const nlohmann::json &document, TimePoint now)
{
    if (!document.is_object() || !hasVersion(document)) {
        return std::nullopt;
    }
    const auto name = document.find("n");
    const auto sequence = document.find("s");
    const auto incarnation = document.find("i");
    const auto servers = document.find("l");
    if (name == document.end() || !name->is_string() || sequence == document.end() || !sequence->is_number_unsigned()
        || incarnation == document.end() || !incarnation->is_number_unsigned()) {
        return std::nullopt;
    }
    auto inFlight = servers == document.end() ? std::nullopt : pairsFrom(*servers);
    if (!inFlight) {
        return std::nullopt;
    }
    LoadMessage message{.sender = name->get<std::string>(),
                        .sequence = sequence->get<std::uint64_t>(),
                        .incarnation = Incarnation(incarnation->get<std::uint64_t>()),
                        .isMapHolder = document.contains("m") && document["m"] == true,
                        .tableVersions = {},
                        .inFlight = std::move(*inFlight),
                        .bounds = {}};
    if (const auto bounds = document.find("b"); bounds != document.end()) {
        message.bounds = pairsFrom(*bounds).value_or(NumberPairs());
    }
    if (const auto reports = document.find("r"); reports != document.end()) {
        message.rateLimits = decodeReports(*reports, now);
    }
    if (const auto demands = document.find("d"); demands != document.end()) {
        message.demands = pairsFrom(*demands).value_or(NumberPairs());
    }
    if (const auto arrivals = document.find("k"); arrivals != document.end() && arrivals->is_binary()) {
        message.arrivals = decodeArrivals(arrivals->get_binary());
    }
    if (const auto latencies = document.find("y"); latencies != document.end()) {
        message.latencies = decodeLatencies(*latencies);
    }
    return message;
}

/** Eras have a key of their own, which entries of the release before ignore. */
void encodeTableVersions(const std::vector<TableVersion> &versions, nlohmann::json &document)
{
    auto numbers = nlohmann::json::array();
    auto eras = nlohmann::json::array();
    bool hasEra = false;
    for (const auto &seen : versions) {
        numbers.push_back(seen.version);
        eras.push_back(seen.era ? nlohmann::json(*seen.era) : nlohmann::json());
        hasEra = hasEra || seen.era;
    }
    document["t"] = std::move(numbers);
    if (hasEra) {
        document["e"] = std::move(eras);
    }
}

std::vector<TableVersion> decodeTableVersions(const nlohmann::json &document)
{
    const auto numberIn = [&document](const char *key, std::size_t index) -> std::optional<std::uint64_t> {
        const auto list = document.find(key);
        const bool isThere = list != document.end() && list->is_array() && index < list->size();
        return isThere && (*list)[index].is_number_unsigned() ? std::optional((*list)[index].get<std::uint64_t>())
                                                              : std::nullopt;
    };
    const auto versions = document.find("t");
    const auto count = versions != document.end() && versions->is_array() ? versions->size() : 0;
    std::vector<TableVersion> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back({.version = numberIn("t", index).value_or(0), .era = numberIn("e", index)});
    }
    return result;
}

std::optional<RelayedLoad> decodeRelayed(const nlohmann::json &document, TimePoint now)
{
    auto load = decodeLoad(document, now);
    if (!load) {
        return std::nullopt;
    }
    const auto age = document.find("a");
    const auto address = document.find("p");
    if (age == document.end() || !age->is_number_unsigned() || address == document.end() || !address->is_string()) {
        return std::nullopt;
    }
    const std::chrono::milliseconds since(age->get<std::uint32_t>());
    return RelayedLoad{.load = std::move(*load), .address = address->get<std::string>(), .heardAt = now - since};
}

} // namespace

ServerHash hashOfServer(const ServerId &server)
{
    return static_cast<ServerHash>(hash64(server.name()));
}

ServiceHash hashOfService(const ServiceId &service)
{
    return static_cast<ServiceHash>(hash64(service.name()));
}

PaceUnitHash hashOfPaceUnit(const PaceUnitId &unit)
{
    return static_cast<PaceUnitHash>(hash64(unit.name()));
}

std::size_t mostBytesOf(const LoadMessage &load)
{
    // A number below 2^32 takes five bytes; keys, sequence, start, age and address come to less than 96.
    constexpr std::size_t bytesOfNumber = 5;
    constexpr std::size_t bytesOfHead = 96;
    constexpr std::size_t numbersOfPair = 2;
    constexpr std::size_t bytesOfService = 8;
    constexpr std::size_t bytesOfRate = 7;
    const auto pairs = load.inFlight.size() + load.bounds.size() + load.demands.size();
    const auto numbers =
        numbersOfPair * pairs + numbersOfReport * load.rateLimits.size() + numbersOfLatency * load.latencies.size();
    std::size_t bytes = bytesOfHead + load.sender.size() + bytesOfNumber * numbers;
    for (const auto &service : load.arrivals.value_or(std::vector<ServiceArrivals>())) {
        bytes += bytesOfService + bytesOfRate * service.rates.size();
    }
    return bytes;
}

std::string encodeLoadMessage(const LoadMessage &message, TimePoint now)
{
    auto document = encodeLoad(message, now);
    encodeTableVersions(message.tableVersions, document);
    document["q"] = message.crashDigest;
    for (const auto &relayed : message.relayed) {
        auto load = encodeLoad(relayed.load, now);
        load["a"] = ageOf(relayed.heardAt, now);
        load["p"] = relayed.address;
        document["o"].push_back(std::move(load));
    }
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

std::optional<LoadMessage> decodeLoadMessage(std::string_view bytes, TimePoint now)
{
    // The library throws for sizes that do not fit its containers, also when asked not to.
    if (detail::checkCborBounds(bytes) != DecodeFailure::None) {
        return std::nullopt;
    }
    const auto document = nlohmann::json::from_cbor(bytes, true, false);
    auto message = decodeLoad(document, now);
    if (!message) {
        return std::nullopt;
    }
    message->tableVersions = decodeTableVersions(document);
    if (const auto digest = document.find("q"); digest != document.end() && digest->is_number_unsigned()) {
        message->crashDigest = digest->get<std::uint64_t>();
    }
    if (const auto others = document.find("o"); others != document.end() && others->is_array()) {
        for (const auto &other : *others) {
            if (auto relayed = decodeRelayed(other, now)) {
                message->relayed.push_back(std::move(*relayed));
            }
        }
    }
    return message;
}

PeerLoads::News PeerLoads::take(const LoadMessage &message, const Origin &origin)
{
    const auto found = peers_.find(message.sender);
    const bool isKnown = found != peers_.end();
    if (isKnown) {
        const auto &known = found->second;
        const bool isSameStart = known.last.incarnation == message.incarnation;
        // What was passed on of an entry's last start can come after the first words of the new one.
        const bool isOlder =
            isSameStart ? known.last.sequence >= message.sequence : !origin.isDirect && known.heardAt >= origin.heardAt;
        if (isOlder) {
            return News::None;
        }
    }
    auto &peer = isKnown ? found->second : peers_[message.sender];
    const bool isChanged = !isKnown || peer.last.inFlight != message.inFlight || peer.last.bounds != message.bounds
        || peer.last.demands != message.demands || !message.rateLimits.empty()
        || peer.last.isMapHolder != message.isMapHolder || message.isMapHolder;
    subtract(peer.last);
    // Arrivals are told less often than loads.
    auto arrivals = message.arrivals;
    if (!arrivals && peer.last.incarnation == message.incarnation) {
        arrivals = std::move(peer.last.arrivals);
    }
    peer.last = message;
    peer.last.arrivals = std::move(arrivals);
    peer.last.relayed.clear();
    peer.address = origin.address;
    peer.heardAt = origin.heardAt;
    if (message.isMapHolder) {
        mapHolderHeardAt_ = std::max(mapHolderHeardAt_, origin.heardAt);
    }
    for (const auto &[server, count] : message.inFlight) {
        sums_[server] += count;
    }
    return isChanged ? News::Changed : News::Refreshed;
}

const PeerLoads::Peer *PeerLoads::find(const std::string &sender) const
{
    const auto found = peers_.find(sender);
    return found == peers_.end() ? nullptr : &found->second;
}

void PeerLoads::subtract(const LoadMessage &message)
{
    for (const auto &[server, count] : message.inFlight) {
        const auto found = sums_.find(server);
        if (found == sums_.end()) {
            continue;
        }
        found->second -= std::min(found->second, count);
        if (found->second == 0) {
            sums_.erase(found);
        }
    }
}

bool PeerLoads::expire(TimePoint now, std::chrono::milliseconds silence)
{
    bool hasChanged = false;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.heardAt < silence) {
            ++it;
            continue;
        }
        subtract(it->second.last);
        it = peers_.erase(it);
        hasChanged = true;
    }
    return hasChanged;
}

std::uint32_t PeerLoads::sumFor(ServerHash server) const
{
    const auto found = sums_.find(server);
    return found == sums_.end() ? 0 : found->second;
}

double PeerLoads::demandFor(ServiceHash service) const
{
    double sum = 0;
    for (const auto &[name, peer] : peers_) {
        for (const auto &[told, demand] : peer.last.demands) {
            sum += told == service ? demand / demandScale : 0;
        }
    }
    return sum;
}

std::vector<const std::vector<ArrivalRate> *> PeerLoads::arrivalsFor(ServiceHash service) const
{
    static const std::vector<ArrivalRate> none;
    std::vector<const std::vector<ArrivalRate> *> arrivals;
    for (const auto &[name, peer] : peers_) {
        if (!peer.last.arrivals) {
            continue;
        }
        const auto found = std::find_if(peer.last.arrivals->begin(), peer.last.arrivals->end(),
                                        [service](const auto &told) { return told.service == service; });
        arrivals.push_back(found == peer.last.arrivals->end() ? &none : &found->rates);
    }
    return arrivals;
}

std::optional<double> PeerLoads::boundFor(PaceUnitHash unit) const
{
    std::vector<std::uint32_t> bounds;
    for (const auto &[name, peer] : peers_) {
        for (const auto &[told, bound] : peer.last.bounds) {
            if (told == unit) {
                bounds.push_back(bound);
            }
        }
    }
    if (bounds.empty()) {
        return std::nullopt;
    }
    const auto middle = bounds.begin() + static_cast<std::ptrdiff_t>(bounds.size() / 2);
    std::nth_element(bounds.begin(), middle, bounds.end());
    return *middle / boundScale;
}

} // namespace hornbeamlane
