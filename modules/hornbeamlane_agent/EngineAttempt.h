#pragma once

#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_network/hornbeamlane_network.h"

#include <functional>
#include <memory>
#include <string>

namespace hornbeamlane {

/**
    One attempt at the engine: sends the request and passes the response on under the entry's credit.

    At most one read of the engine's connection is buffered beyond the credit; without credit nothing more is read.
*/
class EngineAttempt final
{
public:
    struct Result
    {
        bool isComplete = false;
        int status = 0;
        std::string contentType;
        /** Whole body; collected only if Options::isResultKept. */
        std::string body;
        /** The body was too long to keep. */
        bool isBodyOmitted = false;
        /** Set if the attempt is not complete. */
        Refusal refusal;
    };

    struct Options
    {
        std::string engineAddress;
        std::chrono::seconds timeout{600};
        bool isResultKept = false;
        /** Most bytes that are kept; a longer body is passed on but not kept. */
        std::size_t maxKeptBytes = 64 * 1024;
    };

    /** A callback may destroy the attempt, but for `message`. */
    struct Callbacks
    {
        std::function<void(const Message &)> message;
        std::function<void(const HttpResponse &head)> head;
        std::function<void()> firstByte;
        std::function<void(std::uint32_t tokens)> tokens;
        std::function<void(const Result &)> finished;
    };

    EngineAttempt(EventLoop &loop, Options options, Dispatch dispatch, Callbacks callbacks);

    void addCredit(std::uint64_t bytes);

    /** The entry is gone: the response is no longer sent, only collected. */
    void detach();

    const Dispatch &dispatch() const;

private:
    void start();
    void handleHead(const HttpResponse &head);
    void handleData(std::string_view bytes);
    void handleEnd(HttpCallEnd end);
    void sendPending();
    void finishIfDone();
    Refusal refusalOf(HttpCallEnd end) const;

    EventLoop &loop_;
    Options options_;
    Dispatch dispatch_;
    Callbacks callbacks_;
    std::unique_ptr<HttpCall> call_;
    Result result_;
    std::string pending_;
    std::uint64_t credit_;
    std::uint64_t sequence_ = 0;
    bool isDetached_ = false;
    bool isInputComplete_ = false;
    bool hasFirstByte_ = false;
};

} // namespace hornbeamlane
