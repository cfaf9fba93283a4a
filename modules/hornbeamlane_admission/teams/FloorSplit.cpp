#include "hornbeamlane_admission/teams/FloorSplit.h"

#include <algorithm>
#include <set>

namespace hornbeamlane {

namespace {

template <class Id>
bool haveCommon(const std::vector<Id> &left, const std::vector<Id> &right)
{
    return std::any_of(left.begin(), left.end(),
                       [&right](const Id &id) { return std::find(right.begin(), right.end(), id) != right.end(); });
}

/** The first so many servers by rendezvous hashing for the team. */
std::vector<const ServerEntry *> rank(const std::vector<const ServerEntry *> &servers, const std::string &team,
                                      std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const ServerEntry *>> weighted;
    weighted.reserve(servers.size());
    for (const auto *server : servers) {
        weighted.emplace_back(rendezvousWeight(team, server->header.name), server);
    }
    const auto wanted = static_cast<std::ptrdiff_t>(std::min(count, weighted.size()));
    const auto isBefore = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->header.name < right.second->header.name;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + wanted, weighted.end(), isBefore);
    std::vector<const ServerEntry *> ranked;
    for (auto entry = weighted.begin(); entry != weighted.begin() + wanted; ++entry) {
        ranked.push_back(entry->second);
    }
    return ranked;
}

} // namespace

FloorSplit::FloorSplit(const Catalogue &catalogue, Options options)
    : catalogue_(catalogue)
    , options_(options)
{
    HORNBEAMLANE_ASSERT(options_.requestsPerHome > 0);
    for (const auto &[id, server] : catalogue_.servers) {
        for (const auto &model : server.models) {
            byModel_[{server.dataCentre, model}].push_back(&server);
        }
        for (const auto &service : server.services) {
            byService_[{server.dataCentre, service}].push_back(&server);
        }
    }
}

bool FloorSplit::isOffered(const TeamEntry &team, const ServerEntry &server)
{
    return haveCommon(team.models, server.models) || haveCommon(team.services, server.services);
}

std::vector<FloorSplit::Servers> FloorSplit::candidates(const TeamEntry &team, const DataCentreId &dataCentre) const
{
    std::vector<Servers> lists;
    const auto add = [&lists, &dataCentre](const auto &index, const auto &targets) {
        for (const auto &target : targets) {
            const auto servers = index.find({dataCentre, target});
            if (servers != index.end()) {
                lists.push_back(servers->second);
            }
        }
    };
    add(byModel_, team.models);
    add(byService_, team.services);
    return lists;
}

std::vector<const ServerEntry *> FloorSplit::homes(const TeamEntry &team, const DataCentreId &dataCentre,
                                                   std::uint32_t floor) const
{
    auto lists = candidates(team, dataCentre);
    // Two homes at least, so that the loss of one does not take the whole floor, and one for each model or service.
    const auto wanted = std::min<std::size_t>(
        floor,
        std::max<std::size_t>({(floor + options_.requestsPerHome - 1) / options_.requestsPerHome, 2, lists.size()}));
    for (auto &list : lists) {
        list = rank(list, team.header.name, wanted);
    }
    std::vector<const ServerEntry *> homes;
    for (std::size_t place = 0; place < wanted; ++place) {
        for (const auto &list : lists) {
            if (place < list.size() && homes.size() < wanted
                && std::find(homes.begin(), homes.end(), list[place]) == homes.end()) {
                homes.push_back(list[place]);
            }
        }
    }
    return homes;
}

std::uint32_t FloorSplit::share(const TeamEntry &team, const ServerId &server) const
{
    const auto entry = catalogue_.servers.find(server);
    if (entry == catalogue_.servers.end() || !isOffered(team, entry->second)) {
        return 0;
    }
    const auto floor = team.floors.find(entry->second.dataCentre);
    if (floor == team.floors.end() || floor->second == 0) {
        return 0;
    }
    const auto servers = homes(team, entry->second.dataCentre, floor->second);
    const auto own = std::find(servers.begin(), servers.end(), &entry->second);
    if (own == servers.end()) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(servers.size());
    const auto place = static_cast<std::uint32_t>(own - servers.begin());
    return floor->second / count + (place < floor->second % count ? 1 : 0);
}

std::size_t FloorSplit::serverCount(const TeamEntry &team) const
{
    std::set<const ServerEntry *> servers;
    for (const auto &[dataCentre, entry] : catalogue_.dataCentres) {
        for (const auto &list : candidates(team, dataCentre)) {
            servers.insert(list.begin(), list.end());
        }
    }
    return servers.size();
}

} // namespace hornbeamlane
