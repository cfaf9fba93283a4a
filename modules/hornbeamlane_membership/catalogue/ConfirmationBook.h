#pragma once

#include "hornbeamlane_membership/actions/KeeperAction.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Newest version that each process has confirmed, by the name of the process. */
using Confirmations = std::map<std::string, CatalogueVersion>;

/** Prefix of the rows that hold confirmations, one for each data centre. */
inline constexpr const char *confirmationsPrefix = "confirmations/";

/** Value of a row `confirmations/<data centre>`. */
std::string confirmationsToRowValue(const Confirmations &confirmations);

/** Reads a row value; empty if it has another form. */
std::optional<Confirmations> confirmationsFromRowValue(std::string_view value);

/** Collects who has confirmed a catalogue version in one data centre and, in a reader, writes it to the table. */
class ConfirmationBook final
{
public:
    struct Options
    {
        DataCentreId dataCentre;
        /** At most one write in this time. */
        Duration writeInterval = std::chrono::seconds(1);
        /** A reply that is later than this is no longer waited for. */
        Duration requestTimeout = std::chrono::seconds(2);
        /** Whether a write that failed or got no reply is repeated. */
        std::function<bool()> retriesWrite = [] { return true; };
    };

    explicit ConfirmationBook(Options options);

    /** The process has the version in force. Lower versions than already noted are ignored. */
    void note(const std::string &process, CatalogueVersion version);

    /** Forgets all processes that are not named, such as hosts that were replaced. */
    void retain(const std::set<std::string> &processes);

    const Confirmations &confirmations() const
    {
        return confirmations_;
    }

    /** Call several times a second; only a reader writes. */
    KeeperActions tick(bool isReader, TimePoint now);

    /** Reply to a ReadRow action. */
    void onRow(const TableReply &reply);

    /** Reply to a WriteRow action. */
    void onWritten(const TableReply &reply);

private:
    std::string key() const;

    Options options_;
    Confirmations confirmations_;
    /** Content of the row as last read or written; empty while unknown. */
    std::optional<Confirmations> stored_;
    std::optional<Confirmations> writing_;
    RowVersion rowVersion_;
    std::optional<TimePoint> lastRequest_;
    std::optional<TimePoint> lastWrite_;
};

} // namespace hornbeamlane
