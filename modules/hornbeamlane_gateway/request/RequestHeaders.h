#pragma once

#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_network/http1/Http1Messages.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** The headers that are passed on: all but those that concern one connection only. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** A time in whole milliseconds; empty if the header is missing or no such time. */
std::optional<std::chrono::milliseconds> parseMilliseconds(const std::string *text);

/** Whole milliseconds. */
std::string formatMilliseconds(Duration time);

/** Seconds with two digits of their fraction. */
std::string formatSeconds(Duration time);

/** Headers of a caller that a server gets: none of those that the gateway sets itself, and never the key. */
HttpHeaders callerHeaders(const HttpHeaders &headers, const GatewayHeaders &names);

/** Ids of the parts of a prompt that other requests may share: all that the headers list but the last one. Equal ids
   come out alike however they are written. */
std::vector<std::string> sharedPromptParts(const HttpHeaders &headers, std::string_view name);

/** Another server has the address. */
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

/** Whether the status states that the request has not run and never will. */
bool isPromiseOfNotRun(int status);

/** Whether a server says that it has not run the request. */
bool isNotRun(const Http1ResponseHead &head, const GatewayHeaders &names);

/** Whether the answer has neither a length nor chunks, so that only the end of the connection ends it. */
bool endsWithConnection(const Http1ResponseHead &head);

/** Whether a success is the server's own answer with an unchanged body. */
bool isValidSuccess(const Http1ResponseHead &head, const GatewayHeaders &names);

} // namespace hornbeamlane
