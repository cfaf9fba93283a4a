#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeamlane {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Value of the first header of that name, in any case of letters. */
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/** Whether two header names are the same; letters compare in any case. */
bool isSameHeader(std::string_view first, std::string_view second);

/** A complete request as received. */
struct HttpRequest
{
    std::string method;
    /** Path without query, percent-decoded. */
    std::string path;
    /** Query without the question mark, as received. */
    std::string query;
    HttpHeaders headers;
    std::string body;

    /** Value of the first header of that name, in any case of letters. */
    std::optional<std::string> header(std::string_view name) const;
};

/** A complete response. */
struct HttpResponse
{
    int status = 0;
    std::string contentType;
    HttpHeaders headers;
    std::string body;
};

/** Whether the status states that the server has failed. */
constexpr bool isServerError(int status)
{
    return status >= 500;
}

/** Encodes every byte except unreserved characters of a URI. */
std::string percentEncode(std::string_view text);

/** Decodes a percent-encoded text; malformed escapes stay as they are. */
std::string percentDecode(std::string_view text);

/** Value of a field of a query string, percent-decoded. */
std::optional<std::string> queryField(std::string_view query, std::string_view name);

/** Time in seconds, zero or more; empty if the text is no such decimal number. Times that the type cannot hold count as
    its longest. */
std::optional<std::chrono::nanoseconds> parseSeconds(std::string_view text);

/** A number of events a second, zero or more; empty if the text is no such decimal number. */
std::optional<double> parseRate(std::string_view text);

} // namespace hornbeamlane
