#pragma once

#include "hornbeamlane_dispatch/servers/Backend.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace hornbeamlane {

/** Servers whose service the catalogue in force does not name. They are not used, and a later catalogue may name their
    service. */
class UnnamedServers final
{
public:
    explicit UnnamedServers(std::size_t limit);

    /** Keeps what the server said of itself at that time; false if there is no room for another one. */
    bool keep(const BackendSpec &spec, TimePoint now);

    void drop(const ServerId &server);

    /** Drops all servers that are not listed. */
    void retainOnly(const std::set<ServerId> &listed);

    /** Takes out the servers whose service is named now, each with what is left of its time as a cold server. */
    std::vector<BackendSpec> takeNamed(const std::function<bool(const ServiceId &)> &isNamed, TimePoint now);

    std::size_t size() const
    {
        return servers_.size();
    }

private:
    struct Kept
    {
        BackendSpec spec;
        TimePoint toldAt;
    };

    std::size_t limit_;
    std::map<ServerId, Kept> servers_;
};

} // namespace hornbeamlane
