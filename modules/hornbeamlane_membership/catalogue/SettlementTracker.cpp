#include "hornbeamlane_membership/catalogue/SettlementTracker.h"

#include <algorithm>

namespace hornbeamlane {

SettlementTracker::SettlementTracker(Options options, CatalogueVersion settled)
    : options_(std::move(options))
    , settled_(settled)
{
}

void SettlementTracker::addVersion(CatalogueVersion version, std::set<ServerId> servers)
{
    if (version >= settled_) {
        servers_[version] = std::move(servers);
    }
}

std::optional<CatalogueVersion> SettlementTracker::missingVersion(const CatalogueHead &head) const
{
    for (auto version = settled_; version <= head.version(); version = version.next()) {
        // A version of which it is unknown whether it was accepted is read to be safe.
        if (version != CatalogueVersion() && head.wasAccepted(version).value_or(true) && !servers_.contains(version)) {
            return version;
        }
    }
    return std::nullopt;
}

CatalogueVersion SettlementTracker::update(const CatalogueHead &head, const Confirmations &confirmations)
{
    if (missingVersion(head)) {
        return settled_;
    }
    auto confirmed = head.version();
    for (const auto &[version, servers] : servers_) {
        for (const auto &server : servers) {
            const auto match = confirmations.find(server.name());
            if (!options_.isLost(server)) {
                confirmed = std::min(confirmed, match == confirmations.end() ? CatalogueVersion() : match->second);
            }
        }
    }
    for (const auto &[version, servers] : servers_) {
        if (version <= confirmed) {
            settled_ = std::max(settled_, version);
        }
    }
    // The settled version itself stays: its servers have to confirm its successors.
    std::erase_if(servers_, [this](const auto &item) { return item.first < settled_; });
    return settled_;
}

} // namespace hornbeamlane
