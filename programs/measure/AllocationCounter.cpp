#include "measure/AllocationCounter.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

std::uint64_t allocations = 0;
std::int64_t liveBytes = 0;

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    ++allocations;
    liveBytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (memory != nullptr) {
        liveBytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
        std::free(memory);
    }
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace hornbeamlane::measure {

AllocationCounts allocationCounts()
{
    return {.allocations = allocations, .liveBytes = liveBytes};
}

} // namespace hornbeamlane::measure
