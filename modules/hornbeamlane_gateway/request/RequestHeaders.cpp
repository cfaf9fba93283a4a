#include "hornbeamlane_gateway/request/RequestHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace hornbeamlane {

using std::chrono::milliseconds;

namespace {

/** Whether the header is listed in a Connection header and so concerns this connection only. */
bool isListedInConnection(const HttpHeaders &headers, std::string_view name)
{
    const auto *list = findHeader(headers, "Connection");
    if (list == nullptr) {
        return false;
    }
    std::string_view rest = *list;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        auto token = rest.substr(0, comma);
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        const auto begin = token.find_first_not_of(" \t");
        if (begin == std::string_view::npos) {
            continue;
        }
        token = token.substr(begin, token.find_last_not_of(" \t") - begin + 1);
        if (isSameHeader(token, name)) {
            return true;
        }
    }
    return false;
}

/** Hexadecimal digits of an id in lower case, without blanks around it and zeros in front. */
std::string normalisePartId(std::string_view id)
{
    const auto begin = id.find_first_not_of(" \t0");
    if (begin == std::string_view::npos) {
        return "0";
    }
    std::string result(id.substr(begin, id.find_last_not_of(" \t") - begin + 1));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders result;
    result.reserve(headers.size());
    for (const auto &header : headers) {
        if (!isHopByHopHeader(header.first) && !isListedInConnection(headers, header.first)) {
            result.push_back(header);
        }
    }
    return result;
}

HttpHeaders callerHeaders(const HttpHeaders &headers, const GatewayHeaders &names)
{
    auto result = endToEndHeaders(headers);
    std::erase_if(result, [&names](const auto &header) {
        return isSameHeader(header.first, names.key) || isSameHeader(header.first, names.timeLeft)
            || isSameHeader(header.first, names.team) || isSameHeader(header.first, names.expectedServer)
            || isSameHeader(header.first, names.lastEventId) || isSameHeader(header.first, names.priority);
    });
    return result;
}

std::vector<std::string> sharedPromptParts(const HttpHeaders &headers, std::string_view name)
{
    std::vector<std::string> parts;
    for (const auto &[header, list] : headers) {
        if (!isSameHeader(header, name)) {
            continue;
        }
        std::string_view rest = list;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            const auto entry = rest.substr(0, comma);
            parts.push_back(normalisePartId(entry.substr(0, entry.find(':'))));
            rest.remove_prefix(std::min(rest.size(), comma + 1));
        }
    }
    if (!parts.empty()) {
        parts.pop_back();
    }
    return parts;
}

bool isPromiseOfNotRun(int status)
{
    return status == 408 || status == statusMisdirected || status == 429 || status == statusUnavailable;
}

bool isNotRun(const Http1ResponseHead &head, const GatewayHeaders &names)
{
    return head.status == statusMisdirected || (isPromiseOfNotRun(head.status) && head.header(names.notRun) != nullptr);
}

bool endsWithConnection(const Http1ResponseHead &head)
{
    return head.header("Content-Length") == nullptr && head.header("Transfer-Encoding") == nullptr;
}

bool isValidSuccess(const Http1ResponseHead &head, const GatewayHeaders &names)
{
    return head.header(names.signature) != nullptr && head.header(names.attemptId) != nullptr
        && head.header("Content-Encoding") == nullptr;
}

std::optional<milliseconds> parseMilliseconds(const std::string *text)
{
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end == text->data() || value < 0) {
        return std::nullopt;
    }
    return milliseconds(value);
}

std::string formatMilliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::string formatSeconds(Duration time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(time).count());
    return text.data();
}

} // namespace hornbeamlane
