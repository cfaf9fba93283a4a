#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Key of the row that names the accepted version. */
inline constexpr const char *catalogueHeadKey = "catalogue/head";

/** Key of the row that holds the document of a version. Such a row is written once and never changed. */
std::string catalogueRowKey(CatalogueVersion version);

/** Inverse of catalogueRowKey(); empty for any other key. */
std::optional<CatalogueVersion> catalogueVersionOfKey(std::string_view key);

/** Value of the row `catalogue/head`. */
class CatalogueHead final
{
public:
    /** Versions kept in the list; an apply whose reply was lost is resolved within so many later applies. */
    static constexpr std::size_t maxAccepted = 64;

    /** Newest accepted version; 0 if there is none. */
    CatalogueVersion version() const;

    /** Accepts a version; it must be higher than the newest one. */
    void accept(CatalogueVersion version);

    /** Whether the version was ever accepted; empty if that is older than the list reaches. */
    std::optional<bool> wasAccepted(CatalogueVersion version) const;

    std::string toRowValue() const;

    /** Reads a row value; empty if it has another form. */
    static std::optional<CatalogueHead> fromRowValue(std::string_view value);

    bool operator==(const CatalogueHead &) const = default;

private:
    /** Newest first. Numbers are skipped when an operator's apply stopped before it was accepted. */
    std::vector<CatalogueVersion> accepted_;
    bool isTruncated_ = false;
};

} // namespace hornbeamlane
