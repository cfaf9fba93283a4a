#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <event2/util.h>
#include <netinet/in.h>

struct bufferevent;

namespace hornbeamlane {

/** Address of "<ip>:<port>"; empty if the text has another form. */
std::optional<sockaddr_in> toSocketAddress(const std::string &address);

/** Port to which the socket is bound. */
std::uint16_t boundPort(evutil_socket_t socket);

/** Starts to connect; false if that is not possible. */
bool connectStream(bufferevent *stream, const sockaddr_in &address);

} // namespace hornbeamlane
