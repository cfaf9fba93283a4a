#include "hornbeamlane_network/http1/Http1Messages.h"

#include <algorithm>
#include <array>

namespace hornbeamlane {

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names = {
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
        "te",         "trailer",    "upgrade",          "transfer-encoding",  "content-length",
        "expect"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view one) { return isSameHeader(one, name); });
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Response";
    }
}

} // namespace hornbeamlane
