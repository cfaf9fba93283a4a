#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_network/http/HttpServer.h"

#include <functional>
#include <memory>

namespace hornbeamlane {

/** The answer to one caller: exactly one response or refusal, streamed or whole. */
class CallerReply final
{
public:
    struct Hooks
    {
        std::function<void(const Refusal &)> refused;
        std::function<void()> firstByte;
        std::function<void(std::size_t tokens)> tokens;
    };

    CallerReply(std::shared_ptr<HttpExchange> exchange, Hooks hooks);

    void setHead(int status, const std::string &contentType, bool isStream);

    /** Whether bytes under this head can go on with what the caller has already; always true if that is nothing. */
    bool mayGoOnWith(int status, const std::string &contentType) const;

    /** Passes body bytes on. Bytes of an event stream go out as whole events only. */
    void addData(std::string_view bytes);

    /** Sends the end of the response. */
    void complete(bool isReplay = false);

    /** Answers with a refusal; a response that has begun is broken off so that it cannot be taken for a whole one. */
    void refuse(const Refusal &refusal);

    /** Whether bytes of the response have gone to the caller, so that it can no longer be replaced. */
    bool hasBegun() const;

    /** Whether a part of an event has come without its end, so that the stream is not whole. */
    bool endsInsideEvent() const;

    /** Whether that part is so long that it is no event any more. */
    bool isEventTooLong() const;

    /** Drops what was collected of a response that has not begun, before another attempt. */
    void restart();

    /** Whole events passed to the caller. */
    std::size_t passedEvents() const;

    /** The caller reads too slowly for more bytes at present. */
    bool isBackedUp() const;

    bool isOver() const;

private:
    void beginStream();
    void passEvents();

    std::shared_ptr<HttpExchange> exchange_;
    Hooks hooks_;
    HttpResponse response_;
    /** Bytes of an event whose end has not arrived. */
    std::string partialEvent_;
    std::size_t passedEvents_ = 0;
    bool isEventStream_ = false;
    bool hasFirstByte_ = false;
    bool isOver_ = false;
};

} // namespace hornbeamlane
