#include "hornbeamlane_dispatch/retry/RetryAllowance.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Part of the ratio that is used: requests that callers repeat against other entries fall into other windows. */
constexpr double ratioMargin = 0.8;

} // namespace

RetryAllowance::RetryAllowance(const Options &options)
    : options_(options)
{
}

void RetryAllowance::setEntryCount(std::uint32_t count)
{
    options_.entryCount = std::max(1U, count);
}

void RetryAllowance::countRequest(TimePoint now)
{
    forget(now);
    requests_.push_back(now);
}

bool RetryAllowance::takeRetry(TimePoint now)
{
    forget(now);
    if (static_cast<double>(retries_.size() + 1) > limit()) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

void RetryAllowance::forget(TimePoint now)
{
    const auto start = now - options_.window;
    while (!requests_.empty() && requests_.front() <= start) {
        requests_.pop_front();
    }
    while (!retries_.empty() && retries_.front() <= start) {
        retries_.pop_front();
    }
}

double RetryAllowance::limit() const
{
    return ratioMargin
        * (options_.ratio * static_cast<double>(requests_.size()) + options_.allowance / options_.entryCount);
}

} // namespace hornbeamlane
