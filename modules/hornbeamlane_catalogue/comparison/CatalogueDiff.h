#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Kind and name of an entry. */
struct CatalogueEntryKey
{
    std::string kind;
    std::string name;

    /** "<kind> <name>". */
    std::string toString() const;

    auto operator<=>(const CatalogueEntryKey &) const = default;
};

/** An entry that both documents hold with different content. */
struct ChangedCatalogueEntry
{
    CatalogueEntryKey key;
    /** JSON pointers of the values that differ, relative to the entry, for instance "/limits/concurrency". */
    std::vector<std::string> paths;

    bool operator==(const ChangedCatalogueEntry &) const = default;
};

/** What an apply would change. */
struct CatalogueDiff
{
    std::vector<CatalogueEntryKey> added;
    std::vector<CatalogueEntryKey> removed;
    std::vector<ChangedCatalogueEntry> changed;

    bool isEmpty() const;

    bool operator==(const CatalogueDiff &) const = default;
};

/** Compares two valid catalogue documents; empty if one of them is not a catalogue document. */
std::optional<CatalogueDiff> diffCatalogues(std::string_view before, std::string_view after);

} // namespace hornbeamlane
