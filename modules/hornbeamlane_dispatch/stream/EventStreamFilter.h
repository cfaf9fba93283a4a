#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/**
    Cuts the bytes of an event stream at the ends of its events.

    A stream that breaks off can then be resumed after the last event that has been passed on whole.
*/
class EventStreamFilter final
{
public:
    /** Longest event; a longer one never becomes complete. */
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    /** Takes bytes and returns those that belong to complete events. */
    std::string_view push(std::string_view bytes);

    /** Whether the event that has begun is too long already, so that the stream leads nowhere. */
    bool isEventTooLong() const
    {
        return partialEvent().size() > maxEventBytes;
    }

    /** Drops the part of an event that has arrived; the server that goes on with the stream sends it again. */
    void dropPartialEvent();

    /** Bytes of an event that is not complete. */
    std::string_view partialEvent() const
    {
        return std::string_view(pending_).substr(passed_);
    }

    /** Id of the last complete event that had one. */
    const std::optional<std::string> &lastEventId() const
    {
        return lastEventId_;
    }

    /** Sets the position from which the caller itself resumes. */
    void setLastEventId(std::string id)
    {
        lastEventId_ = std::move(id);
    }

    std::size_t completeEvents() const
    {
        return completeEvents_;
    }

private:
    void noteEvent(std::string_view event);

    std::string pending_;
    /** Bytes at the start of pending_ that push() has handed out. */
    std::size_t passed_ = 0;
    /** Start of the line in pending_ that has been looked at last. */
    std::size_t lineStart_ = 0;
    /** Place in that line up to which there is no end of it. */
    std::size_t looked_ = 0;
    std::optional<std::string> lastEventId_;
    std::size_t completeEvents_ = 0;
};

} // namespace hornbeamlane
