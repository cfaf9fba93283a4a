#pragma once

#include <cstdint>

namespace hornbeamlane::measure {

/** Allocations of this program through operator new since it started. */
struct AllocationCounts
{
    std::uint64_t allocations = 0;
    /** Bytes allocated and not yet freed, as the allocator rounds them. */
    std::int64_t liveBytes = 0;
};

AllocationCounts allocationCounts();

} // namespace hornbeamlane::measure
