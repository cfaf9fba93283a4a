#pragma once

#include "hornbeamlane_network/http/HttpMessages.h"

#include <string>
#include <string_view>

namespace hornbeamlane {

/** Whether the header concerns one connection only and must not be passed on. */
bool isHopByHopHeader(std::string_view name);

/** A complete request with its target as received, so that it can be passed on unchanged. */
struct Http1Request
{
    std::string method;
    /** Path with query. */
    std::string target;
    HttpHeaders headers;
    std::string body;
    bool isHttp11 = true;
    bool isKeepAlive = true;

    const std::string *header(std::string_view name) const
    {
        return findHeader(headers, name);
    }

    /** The target up to its query. */
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

/** Status line and headers of a response. */
struct Http1ResponseHead
{
    int status = 0;
    HttpHeaders headers;
    bool isKeepAlive = true;

    const std::string *header(std::string_view name) const
    {
        return findHeader(headers, name);
    }
};

/** What the bytes read so far amount to. */
enum class Http1Progress {
    NeedMore,
    Complete,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/** Standard reason phrase of a status. */
std::string_view reasonPhrase(int status);

} // namespace hornbeamlane
