#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamlane::ctl {

enum class HttpMethod { Get, Put, Post, Delete };

struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;
    /** Path and query, already encoded. */
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct HttpResponse
{
    int status = 0;
    std::string body;
};

enum class HttpFailure {
    None,
    BadAddress,
    NotConnected, ///< No byte of the request was sent.
    NoReply, ///< The connection ended or timed out; the server may have acted on the request.
};

/** Sends one HTTP request at a time and waits for the response. Never sends a request twice. */
class HttpClient final
{
public:
    /** Address "<ip>:<port>". */
    HttpClient(std::string address, std::chrono::milliseconds timeout);

    /** Empty on failure; see lastFailure(). */
    std::optional<HttpResponse> perform(const HttpRequest &request);

    HttpFailure lastFailure() const
    {
        return lastFailure_;
    }

    const std::string &address() const
    {
        return address_;
    }

private:
    std::string address_;
    std::chrono::milliseconds timeout_;
    HttpFailure lastFailure_ = HttpFailure::None;
};

/** Encodes every byte that is not a letter, a digit or one of "-_.~" as %XX. */
std::string percentEncode(const std::string &text);

} // namespace hornbeamlane::ctl
