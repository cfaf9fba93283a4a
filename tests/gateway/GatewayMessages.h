#pragma once

#include "hornbeamlane_network/http1/Http1ClientConnection.h"
#include "standins/ScriptedServer.h"

#include <optional>
#include <sstream>
#include <string>

namespace hornbeamlane {

using testing::headerOf;
using testing::ScriptedServer;

/** Answer of a server as the gateway accepts it. */
inline std::string answer(const std::string &head, int status, const std::string &body, const std::string &more = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
        + "\r\nX-Server-Signature: s\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string streamHead(const std::string &head, const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id") + "\r\nX-Server-Signature: s\r\n" + more
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/** Head of a stream that has neither a length nor chunks: the end of the connection ends it. */
inline std::string openStreamHead(const std::string &head)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
        + "\r\nX-Server-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
}

inline std::string chunk(const std::string &text)
{
    std::ostringstream bytes;
    bytes << std::hex << text.size() << "\r\n" << text << "\r\n";
    return bytes.str();
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/** What a caller got. */
struct CallerAnswer
{
    std::optional<Http1CallEnd> end;
    Http1ResponseHead head;
    std::string body;
};

} // namespace hornbeamlane
