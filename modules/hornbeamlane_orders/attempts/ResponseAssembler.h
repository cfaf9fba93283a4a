#pragma once

#include "hornbeamlane_messages/hornbeamlane_messages.h"

#include <cstdint>
#include <functional>

namespace hornbeamlane {

/** Entry-side check of the response frames of one attempt, with its flow control. */
class ResponseAssembler final
{
public:
    struct Options
    {
        AttemptId attempt;
        /** Body bytes that may be on the way or waiting for the caller. */
        std::uint64_t window = 64 * 1024;
        /** Replaces the comparison of a frame's attempt with the expected one. */
        std::function<bool(const AttemptId &expected, const AttemptId &received)> isSameAttempt;
        /** Replaces the comparison of a frame's sequence number with the next one. */
        std::function<bool(std::uint64_t expected, std::uint64_t received)> isNextSequence;
        /** Replaces the check that a frame's bytes fit into the credit that is left. */
        std::function<bool(std::uint64_t credit, std::uint64_t bytes)> isWithinCredit;
    };

    enum class Result {
        Accepted, ///< Pass the content of the frame on.
        Dropped, ///< A frame of another attempt, or after the end; changes nothing.
        Completed, ///< The response is whole.
        Failed, ///< The response cannot become whole; the attempt has ended.
    };

    enum class Failure { None, SequenceGap, SequenceRepeat, UnexpectedFrame, CreditExceeded };

    explicit ResponseAssembler(Options options);

    Result onHead(const ResponseHead &head);
    Result onData(const ResponseData &data);
    Result onEnd(const ResponseEnd &end);

    /** Body bytes were passed to the caller; the result is the credit to grant to the agent. */
    std::uint64_t passToCaller(std::uint64_t bytes);

    /** Bytes that the agent may still send. */
    std::uint64_t credit() const
    {
        return credit_;
    }

    bool hasHead() const
    {
        return hasHead_;
    }

    Failure failure() const
    {
        return failure_;
    }

private:
    /** Checks attempt and sequence number; Accepted if the frame is the next one. */
    Result check(const AttemptId &attempt, std::uint64_t sequence);
    Result fail(Failure failure);

    Options options_;
    std::uint64_t credit_;
    std::uint64_t waiting_ = 0;
    std::uint64_t nextSequence_ = 0;
    bool hasHead_ = false;
    bool hasEnded_ = false;
    Failure failure_ = Failure::None;
};

} // namespace hornbeamlane
