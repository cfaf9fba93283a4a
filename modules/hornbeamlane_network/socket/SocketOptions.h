#pragma once

#include <chrono>

#include <event2/util.h>

struct timeval;

namespace hornbeamlane {

timeval toTimeval(std::chrono::microseconds time);

/** Ends the connection when the peer has acknowledged nothing for this time, also while it is idle. */
void setPeerTimeout(evutil_socket_t socket, std::chrono::milliseconds timeout);

/** Makes closing the socket reset the connection, so that the peer cannot take what it has got for the whole. */
void resetOnClose(evutil_socket_t socket);

/** Resets the connection at once; the socket stays open and unconnected until its owner closes it. */
void resetConnection(evutil_socket_t socket);

} // namespace hornbeamlane
