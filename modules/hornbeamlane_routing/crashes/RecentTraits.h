#pragma once

#include "hornbeamlane_routing/crashes/RequestTraits.h"

#include <unordered_set>

namespace hornbeamlane {

/** Remembers the traits that were added last, in bounded memory. */
class RecentTraits final
{
public:
    /** At most this many, and half of that at least. */
    explicit RecentTraits(std::size_t most);

    void add(TraitHash trait);
    bool contains(TraitHash trait) const;

private:
    std::size_t most_;
    /** Two halves, the older of which is dropped when the newer one is full. */
    std::unordered_set<TraitHash> newer_;
    std::unordered_set<TraitHash> older_;
};

} // namespace hornbeamlane
