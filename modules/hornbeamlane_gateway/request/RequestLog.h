#pragma once

#include "hornbeamlane_gateway/request/BackendSend.h"

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** What the log line of a finished request tells; absent values are written as "-". */
struct RequestSummary
{
    std::string attemptId;
    std::string route;
    std::string team;
    std::string service;
    std::optional<CatalogueVersion> version;
    /** Server to which it was sent last. */
    std::string server;
    std::uint32_t sends = 0;
    Duration timeLeft{};
    /** Empty if the request was not admitted. */
    std::optional<std::uint32_t> priority;
    bool isLate = false;
    std::size_t events = 0;
    /** Time to the first byte of an answer. */
    std::optional<Duration> firstByte;
    Duration longestPause{};
    Duration total{};
    std::string_view outcome;
};

void logRequestDone(const RequestSummary &summary);

/** A sending that the server did not end in an orderly way. */
struct FailedSendReport
{
    std::string attemptId;
    Http1CallEnd end = Http1CallEnd::BrokenOff;
    std::size_t events = 0;
    Duration sinceSent{};
    /** Requests of all entries at the server; empty if it is no longer known. */
    std::optional<std::uint32_t> inFlight;
    /** List of prompt parts as the caller sent it; null if it sent none. */
    const std::string *parts = nullptr;
    /** What it shares with others, as it stands in the lines on crashes. */
    RequestTraits traits;
};

void logFailedSend(const detail::BackendSend &send, const FailedSendReport &report);

} // namespace hornbeamlane
