#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_messages/types/StateMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Key of the table row that holds the drain set. */
inline constexpr const char *drainsRowKey = "drains";

/** Name of a scope as written by operators: "data-centre", "host" or "backend-server". */
std::string_view toString(DrainScope scope);

/** Inverse of toString(); empty for any other text. */
std::optional<DrainScope> drainScopeFromString(std::string_view text);

/**
    The drains that were ever added and the ids that were ever removed.

    Merging is the union of both, so it does not depend on order or repetition, and a merge never brings a removed
    drain back. The record of a removed drain is dropped; its id stays.
*/
class DrainSet final
{
public:
    /** Adds a drain; has no effect if its id was added or removed before. */
    void add(const DrainRecord &record);
    void remove(const DrainId &id);

    /** Takes the union with the other set. Returns whether this set changed. */
    bool merge(const DrainSet &other);

    /** Whether every added and removed id of the other set is known here. */
    bool contains(const DrainSet &other) const;

    /** Whether the data centre, the host or the server itself is drained. An empty id matches no drain. */
    bool isDrained(const DataCentreId &dataCentre, const HostId &host, const ServerId &server) const;

    /** Drains in force, in the order of their ids. */
    std::vector<DrainRecord> inForce() const;

    /** Ids of the drains in force with this scope and name. */
    std::vector<DrainId> find(DrainScope scope, const std::string &name) const;

    /** Hash of the content, for Heartbeat::drainVersion; equal sets have equal values, and the empty set has 0. */
    std::uint64_t digest() const;

    DrainUpdate toUpdate() const;
    static DrainSet fromUpdate(const DrainUpdate &update);

    /** Value of the row `drains`. */
    std::string toRowValue() const;

    /** Reads a row value; empty if it has another form. */
    static std::optional<DrainSet> fromRowValue(std::string_view value);

    bool operator==(const DrainSet &other) const;

private:
    std::map<DrainId, DrainRecord> added_;
    std::set<DrainId> removed_;
};

} // namespace hornbeamlane
