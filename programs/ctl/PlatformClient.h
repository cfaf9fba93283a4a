#pragma once

#include "ctl/HttpClient.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane::ctl {

/** The platform's table service and host list over HTTP, one blocking request at a time. */
class PlatformClient final
{
public:
    PlatformClient(std::string address, std::chrono::milliseconds timeout);

    TableReply perform(const TableStep &step);
    TableReply read(const std::string &key);

    /** Rows whose keys start with the prefix; empty if the service cannot be used. */
    std::optional<std::vector<TableRow>> list(const std::string &prefix);

    /** The host list; empty if it cannot be read. */
    std::optional<std::vector<HostRecord>> hosts();

    const std::string &address() const
    {
        return client_.address();
    }

private:
    TableReply write(const TableWrite &write);
    TableReply failure() const;

    HttpClient client_;
};

} // namespace hornbeamlane::ctl
