#include "hornbeamlane_gateway/peers/PeerLoads.h"

#include "hornbeamlane_messages/codec/CborBounds.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace hornbeamlane {

namespace {

constexpr int protocolVersion = 1;

/** Servers in one message at most; a datagram stays below the usual size of a frame up to about 200. */
constexpr std::size_t maxServers = 4096;

bool hasVersion(const nlohmann::json &document)
{
    const auto version = document.find("v");
    return version != document.end() && *version == protocolVersion;
}

} // namespace

ServerHash hashOfServer(const ServerId &server)
{
    return static_cast<ServerHash>(hash64(server.name()));
}

std::string encodeLoadMessage(const LoadMessage &message)
{
    auto servers = nlohmann::json::array();
    for (const auto &[server, count] : message.inFlight) {
        servers.push_back(server);
        servers.push_back(count);
    }
    const nlohmann::json document = {{"v", protocolVersion},     {"n", message.sender},
                                     {"s", message.sequence},    {"i", message.incarnation.value()},
                                     {"m", message.isMapHolder}, {"t", message.tableVersions},
                                     {"l", std::move(servers)}};
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

std::optional<LoadMessage> decodeLoadMessage(std::string_view bytes)
{
    // The library throws for sizes that do not fit its containers, also when asked not to.
    if (detail::checkCborBounds(bytes) != DecodeFailure::None) {
        return std::nullopt;
    }
    const auto document = nlohmann::json::from_cbor(bytes, true, false);
    if (!document.is_object() || !hasVersion(document)) {
        return std::nullopt;
    }
    const auto name = document.find("n");
    const auto sequence = document.find("s");
    const auto incarnation = document.find("i");
    const auto servers = document.find("l");
    if (name == document.end() || !name->is_string() || sequence == document.end() || !sequence->is_number_unsigned()
        || incarnation == document.end() || !incarnation->is_number_unsigned() || servers == document.end()
        || !servers->is_array() || servers->size() % 2 != 0 || servers->size() > 2 * maxServers) {
        return std::nullopt;
    }
    LoadMessage message{.sender = name->get<std::string>(),
                        .sequence = sequence->get<std::uint64_t>(),
                        .incarnation = Incarnation(incarnation->get<std::uint64_t>()),
                        .isMapHolder = document.contains("m") && document["m"] == true,
                        .tableVersions = {},
                        .inFlight = {}};
    if (const auto versions = document.find("t"); versions != document.end() && versions->is_array()) {
        for (const auto &version : *versions) {
            message.tableVersions.push_back(version.is_number_unsigned() ? version.get<std::uint64_t>() : 0);
        }
    }
    for (std::size_t i = 0; i < servers->size(); i += 2) {
        const auto &server = (*servers)[i];
        const auto &count = (*servers)[i + 1];
        if (!server.is_number_unsigned() || !count.is_number_unsigned()) {
            return std::nullopt;
        }
        message.inFlight.emplace_back(server.get<ServerHash>(), count.get<std::uint32_t>());
    }
    return message;
}

PeerLoads::PeerLoads()
    : PeerLoads(Options())
{
}

PeerLoads::PeerLoads(Options options)
    : options_(options)
{
}

bool PeerLoads::take(const LoadMessage &message, TimePoint now)
{
    auto &peer = peers_[message.sender];
    if (peer.last.incarnation == message.incarnation && peer.last.sequence >= message.sequence) {
        return false;
    }
    subtract(peer.last);
    peer.last = message;
    peer.heardAt = now;
    if (message.isMapHolder) {
        mapHolderHeardAt_ = now;
    }
    for (const auto &[server, count] : message.inFlight) {
        sums_[server] += count;
    }
    return true;
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

bool PeerLoads::expire(TimePoint now)
{
    bool hasChanged = false;
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now - it->second.heardAt < options_.silence) {
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

} // namespace hornbeamlane
