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
    // A server that skipped a version does not bound its floors by it. So a version settles only while every server
    // names exactly this one; a higher one does not count.
    std::optional<CatalogueVersion> common;
    for (const auto &[version, servers] : servers_) {
        for (const auto &server : servers) {
            if (options_.isLost(server)) {
                continue;
            }
            const auto match = confirmations.find(server.name());
            if (match == confirmations.end() || (common && *common != match->second)) {
                return settled_;
            }
            common = match->second;
        }
    }
    const auto confirmed = common.value_or(head.version());
    if (servers_.contains(confirmed)) {
        settled_ = std::max(settled_, confirmed);
    }
    // The settled version itself stays: its servers have to confirm its successors.
    std::erase_if(servers_, [this](const auto &item) { return item.first < settled_; });
    return settled_;
}

} // namespace hornbeamlane
