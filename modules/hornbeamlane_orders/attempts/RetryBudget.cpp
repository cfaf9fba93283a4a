#include "hornbeamlane_orders/attempts/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace hornbeamlane {

namespace {

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(const Options &options)
    : options_(options)
{
}

RetryBudget::RetryBudget()
    : RetryBudget(Options())
{
}

RetryBudget::Slot &RetryBudget::slotAt(std::int64_t second)
{
    auto &slot = slots_.at(static_cast<std::uint64_t>(second) % slotCount);
    if (slot.second != second) {
        slot = Slot{.second = second};
    }
    return slot;
}

void RetryBudget::countRequest(TimePoint now)
{
    ++slotAt(secondOf(now)).requests;
}

bool RetryBudget::takeRetry(TimePoint now)
{
    const auto second = secondOf(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto &slot : slots_) {
        if (slot.second > second - static_cast<std::int64_t>(slotCount) && slot.second <= second) {
            requests += slot.requests;
            retries += slot.retries;
        }
    }
    const auto allowed = std::max(options_.share * static_cast<double>(requests),
                                  options_.minimumPerSecond * static_cast<double>(slotCount));
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++slotAt(second).retries;
    return true;
}

} // namespace hornbeamlane
