#include "hornbeamlane_dispatch/servers/BackendIndex.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

const std::vector<Backend *> none;

bool isBefore(const Backend *one, const Backend *other)
{
    return one->spec.id < other->spec.id;
}

template <typename Key>
void insert(std::unordered_map<Key, std::vector<Backend *>> &lists, const Key &key, Backend &backend)
{
    auto &list = lists[key];
    list.insert(std::lower_bound(list.begin(), list.end(), &backend, isBefore), &backend);
}

template <typename Key>
void erase(std::unordered_map<Key, std::vector<Backend *>> &lists, const Key &key, const Backend &backend)
{
    const auto found = lists.find(key);
    if (found == lists.end()) {
        return;
    }
    std::erase(found->second, &backend);
    if (found->second.empty()) {
        lists.erase(found);
    }
}

template <typename Key>
const std::vector<Backend *> &find(const std::unordered_map<Key, std::vector<Backend *>> &lists, const Key &key)
{
    const auto found = lists.find(key);
    return found == lists.end() ? none : found->second;
}

} // namespace

void BackendIndex::add(Backend &backend)
{
    insert(services_, backend.spec.service, backend);
    insert(units_, backend.paceUnit, backend);
}

void BackendIndex::remove(const Backend &backend)
{
    erase(services_, backend.spec.service, backend);
    erase(units_, backend.paceUnit, backend);
}

const std::vector<Backend *> &BackendIndex::ofService(const ServiceId &service) const
{
    return find(services_, service);
}

const std::vector<Backend *> &BackendIndex::ofUnit(const PaceUnitId &unit) const
{
    return find(units_, unit);
}

} // namespace hornbeamlane
