// The server for callers: HTTP/1.1 by libmicrohttpd, one thread for each connection, registered as "http".
//
// How to use: `makePlugin<CallerServer>("http", context)`; tests make one with other limits by `makeHttpCallerServer`.
// A request reaches the handler only when its head is free of shapes that two parsers may read differently, and, when
// its body comes in chunks, only when the first chunk was read whole. What the server itself refuses is answered as not
// run, counted, and the connection is closed.
#pragma once

#include "plugins/interfaces.h"

#include <memory>

namespace Fescuenotch {

struct CallerLimits {
    seconds stallLimit{30}; ///< s; longest time without a byte from or to a caller, also between requests
    seconds headLimit{60}; ///< s; longest time from the last answer, or the connect, to the end of the next request head
};

std::unique_ptr<CallerServer> makeHttpCallerServer(const NodeContext &context, const CallerLimits &limits);

} // namespace Fescuenotch
