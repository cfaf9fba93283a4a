#pragma once

#include "hornbeamlane_membership/table/TableClient.h"
#include "hornbeamlane_network/loop/EventLoop.h"

namespace hornbeamlane {

/** The platform's table service over HTTP; see docs/operations.md for the calls it uses. */
class HttpTableClient final : public TableClient
{
public:
    struct Options
    {
        /** "<ip>:<port>". */
        std::string address;
        /** Time after which a call counts as TableStatus::NoReply. */
        std::chrono::seconds timeout{2};
    };

    HttpTableClient(EventLoop &loop, Options options);

    void read(const std::string &key, ReplyHandler handler) override;
    void write(const TableWrite &write, ReplyHandler handler) override;
    void remove(const std::string &key, RowVersion expectedVersion, ReplyHandler handler) override;
    void list(const std::string &prefix, ListHandler handler) override;

private:
    EventLoop &loop_;
    Options options_;
};

} // namespace hornbeamlane
