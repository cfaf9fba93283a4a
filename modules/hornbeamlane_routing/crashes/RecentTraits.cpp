#include "hornbeamlane_routing/crashes/RecentTraits.h"

#include <utility>

namespace hornbeamlane {

RecentTraits::RecentTraits(std::size_t most)
    : most_(most)
{
}

void RecentTraits::add(TraitHash trait)
{
    if (newer_.insert(trait).second && newer_.size() >= most_ / 2) {
        older_ = std::exchange(newer_, {});
    }
}

bool RecentTraits::contains(TraitHash trait) const
{
    return newer_.contains(trait) || older_.contains(trait);
}

} // namespace hornbeamlane
