#include "hornbeamlane_orders/attempts/ResponseAssembler.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

ResponseAssembler::ResponseAssembler(Options options)
    : options_(std::move(options))
    , credit_(options_.window)
{
}

ResponseAssembler::Result ResponseAssembler::fail(Failure failure)
{
    hasEnded_ = true;
    failure_ = failure;
    return Result::Failed;
}

ResponseAssembler::Result ResponseAssembler::check(const AttemptId &attempt, std::uint64_t sequence)
{
    const bool isSame =
        options_.isSameAttempt ? options_.isSameAttempt(options_.attempt, attempt) : attempt == options_.attempt;
    if (hasEnded_ || !isSame) {
        return Result::Dropped;
    }
    const bool isNext =
        options_.isNextSequence ? options_.isNextSequence(nextSequence_, sequence) : sequence == nextSequence_;
    if (!isNext) {
        return fail(sequence > nextSequence_ ? Failure::SequenceGap : Failure::SequenceRepeat);
    }
    ++nextSequence_;
    return Result::Accepted;
}

ResponseAssembler::Result ResponseAssembler::onHead(const ResponseHead &head)
{
    const auto result = check(head.attempt, head.sequence);
    if (result != Result::Accepted) {
        return result;
    }
    if (hasHead_) {
        return fail(Failure::UnexpectedFrame);
    }
    hasHead_ = true;
    return result;
}

ResponseAssembler::Result ResponseAssembler::onData(const ResponseData &data)
{
    const auto result = check(data.attempt, data.sequence);
    if (result != Result::Accepted) {
        return result;
    }
    if (!hasHead_) {
        return fail(Failure::UnexpectedFrame);
    }
    const std::uint64_t bytes = data.bytes.size();
    const bool fits = options_.isWithinCredit ? options_.isWithinCredit(credit_, bytes) : bytes <= credit_;
    if (!fits) {
        return fail(Failure::CreditExceeded);
    }
    credit_ -= std::min(credit_, bytes);
    waiting_ += bytes;
    return result;
}

ResponseAssembler::Result ResponseAssembler::onEnd(const ResponseEnd &end)
{
    const auto result = check(end.attempt, end.sequence);
    if (result != Result::Accepted) {
        return result;
    }
    if (!hasHead_) {
        return fail(Failure::UnexpectedFrame);
    }
    hasEnded_ = true;
    return Result::Completed;
}

std::uint64_t ResponseAssembler::passToCaller(std::uint64_t bytes)
{
    // Bytes that never arrived must not create credit beyond the window.
    const auto passed = std::min(bytes, waiting_);
    waiting_ -= passed;
    credit_ += passed;
    return passed;
}

} // namespace hornbeamlane
