#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Version of a row in the platform's table service; 0 means that the row is absent. */
using RowVersion = Number<struct RowVersionTag>;

/** Number of times that the table service has come back from an older copy of its rows; it only rises. */
using TableEra = std::uint64_t;

/** The service has come back from an older copy: the newest writes of the earlier era are lost, and versions that were
    given to them are given out again. */
struct TableEraChange
{
    TableEra from = 0;
    TableEra to = 0;
};

/** One row. Within an era versions of a row only grow, also across a removal and a new creation. */
struct TableRow
{
    std::string key;
    RowVersion version;
    std::string value;
};

/** Newest row that a process has seen of a table, and the era that gave out the version; empty if the service tells
 * none.
 */
struct TableVersion
{
    std::uint64_t version = 0;
    std::optional<TableEra> era;

    bool operator==(const TableVersion &) const = default;
};

enum class TableStatus {
    Ok,
    NotFound, ///< Read or removal of an absent row.
    Conflict, ///< The condition of a write did not hold; nothing was written.
    Unavailable, ///< Refused by the service, or never sent; nothing was written.
    NoReply, ///< No answer in time; a write may or may not have taken effect, now or later.
};

/** Answer of the table service. */
struct TableReply
{
    TableStatus status = TableStatus::Unavailable;
    /** The row as read, or as written by a successful write. Its value is empty after a write. */
    std::optional<TableRow> row;
    /** Time on the service's own steady clock when it answered, if it tells. */
    std::optional<std::chrono::milliseconds> serviceTime = std::nullopt;
    /** Era in which the service answered, if it tells. */
    std::optional<TableEra> era = std::nullopt;
};

/** A conditional write: takes effect only if the row has exactly this version (0: is absent). */
struct TableWrite
{
    std::string key;
    RowVersion expectedVersion;
    std::string value;
};

/** The table service as the core needs it. Replies come later, on the same thread, each exactly once. */
class TableClient
{
public:
    using ReplyHandler = std::function<void(const TableReply &)>;
    using ListHandler = std::function<void(TableStatus, const std::vector<TableRow> &)>;

    virtual ~TableClient() = default;

    /** Linearizable read of one row. */
    virtual void read(const std::string &key, ReplyHandler handler) = 0;
    virtual void write(const TableWrite &write, ReplyHandler handler) = 0;
    /** Removes the row if it has the given version. */
    virtual void remove(const std::string &key, RowVersion expectedVersion, ReplyHandler handler) = 0;
    /** Reads all rows whose keys start with the prefix. */
    virtual void list(const std::string &prefix, ListHandler handler) = 0;
};

} // namespace hornbeamlane
