#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <event2/util.h>

struct bufferevent;
struct timeval;

namespace hornbeamlane {

timeval toTimeval(std::chrono::microseconds time);

/** Starts to connect; false if the address or the connection cannot be used. */
bool connectStream(bufferevent *stream, const std::string &address, std::uint16_t port);

/** Ends the connection when the peer has acknowledged nothing for this time, also while it is idle. */
void setPeerTimeout(evutil_socket_t socket, std::chrono::milliseconds timeout);

} // namespace hornbeamlane
