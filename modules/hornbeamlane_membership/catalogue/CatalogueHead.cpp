#include "hornbeamlane_membership/catalogue/CatalogueHead.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace hornbeamlane {

namespace {

constexpr std::string_view rowPrefix = "catalogue/";

} // namespace

std::string catalogueRowKey(CatalogueVersion version)
{
    return std::string(rowPrefix) + std::to_string(version.value());
}

std::optional<CatalogueVersion> catalogueVersionOfKey(std::string_view key)
{
    if (!key.starts_with(rowPrefix)) {
        return std::nullopt;
    }
    key.remove_prefix(rowPrefix.size());
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(key.data(), key.data() + key.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != key.data() + key.size()) {
        return std::nullopt;
    }
    return CatalogueVersion(value);
}

CatalogueVersion CatalogueHead::version() const
{
    return accepted_.empty() ? CatalogueVersion() : accepted_.front();
}

void CatalogueHead::accept(CatalogueVersion version)
{
    HORNBEAMLANE_ASSERT(version > this->version());
    accepted_.insert(accepted_.begin(), version);
    if (accepted_.size() > maxAccepted) {
        accepted_.resize(maxAccepted);
        isTruncated_ = true;
    }
}

std::optional<bool> CatalogueHead::wasAccepted(CatalogueVersion version) const
{
    if (std::find(accepted_.begin(), accepted_.end(), version) != accepted_.end()) {
        return true;
    }
    if (isTruncated_ && version < accepted_.back()) {
        return std::nullopt;
    }
    return false;
}

std::string CatalogueHead::toRowValue() const
{
    nlohmann::json accepted = nlohmann::json::array();
    for (const auto version : accepted_) {
        accepted.push_back(version.value());
    }
    return nlohmann::json{{"version", version().value()}, {"accepted", accepted}, {"truncated", isTruncated_}}.dump();
}

std::optional<CatalogueHead> CatalogueHead::fromRowValue(std::string_view value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("accepted") || !json["accepted"].is_array()) {
        return std::nullopt;
    }
    CatalogueHead head;
    for (const auto &version : json["accepted"]) {
        if (!version.is_number_unsigned()) {
            return std::nullopt;
        }
        const CatalogueVersion read(version.get<std::uint64_t>());
        if (read == CatalogueVersion() || (!head.accepted_.empty() && read >= head.accepted_.back())) {
            return std::nullopt;
        }
        head.accepted_.push_back(read);
    }
    head.isTruncated_ = json.contains("truncated") && json["truncated"].is_boolean() && json["truncated"].get<bool>();
    return head;
}

} // namespace hornbeamlane
