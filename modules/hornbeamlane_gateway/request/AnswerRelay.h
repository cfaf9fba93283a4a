#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/request/BackendSend.h"
#include "hornbeamlane_network/http1/Http1Server.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Brings what servers answer to the caller of one request: streams event by event, other answers once they are whole.
 */
class AnswerRelay final
{
public:
    enum class Progress {
        None, ///< No whole event has come.
        Passed, ///< Events were passed on.
        TooLarge, ///< The answer has more bytes waiting than it may.
    };

    /** `collectedBytes` sums the bytes of answers that all requests hold, and must outlive this. */
    AnswerRelay(std::shared_ptr<Http1Exchange> exchange, std::size_t &collectedBytes);
    ~AnswerRelay();

    AnswerRelay(const AnswerRelay &) = delete;
    AnswerRelay &operator=(const AnswerRelay &) = delete;

    /** Takes bytes of an answer that is not streamed. */
    Progress collect(detail::BackendSend &send, std::string_view bytes);

    /** Takes bytes of a stream. The answer starts with its first event: until then another server can give all of it.
     */
    Progress passEvents(detail::BackendSend &send, std::string_view bytes);

    /** Whether bytes under this head can go on with the stream that the caller has; always true before there is one. */
    bool mayGoOnWith(const Http1ResponseHead &head) const;

    /** Whether so much waits for the caller that the server has to wait too. */
    bool isCallerSlow() const;

    /** Gives the caller the collected answer. */
    void deliver(detail::BackendSend &send);

    /** Ends the stream, as one without events if there was none. */
    void finishStream(const detail::BackendSend &send);

    /** Keeps the answer of a server that failed, in case no other server does better. */
    void keepFailure(detail::BackendSend &send);

    /** Gives the caller that answer; empty if there is none, its status otherwise. */
    std::optional<int> deliverFailure();

    /** The sending is over; what has come of an event belongs to nothing any more. */
    void dropSend();

    /** Forgets everything that it holds. */
    void clear();

    EventStreamFilter &events()
    {
        return events_;
    }

    const EventStreamFilter &events() const
    {
        return events_;
    }

    /** Bytes of the present answer that wait to become whole. */
    std::size_t waitingBytes(const detail::BackendSend &send) const
    {
        return send.body.size() + events_.partialEvent().size();
    }

private:
    void startStream(const Http1ResponseHead &head);
    /** Whether the present answer may have so many bytes waiting. */
    bool mayCollect(const detail::BackendSend &send);
    void count(std::size_t ofPresentAnswer);

    std::shared_ptr<Http1Exchange> exchange_;
    std::size_t &collectedBytes_;
    /** Its part of these. */
    std::size_t countedBytes_ = 0;
    EventStreamFilter events_;
    /** Content type of the stream that the caller has. */
    std::string streamType_;
    std::optional<Http1ResponseHead> failedHead_;
    std::string failedBody_;
};

} // namespace hornbeamlane
