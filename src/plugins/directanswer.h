// An answer written straight to a caller's socket, followed by the end of the connection.
//
// libmicrohttpd takes an answer only before the body of a request or after all of it. This one is for the time between
// (a refusal or an early answer while the caller still sends) and for refusals that must reach a caller who is sending.
#pragma once

#include "kernel/clock.h"
#include "plugins/interfaces.h"
#include "plugins/requestcheck.h"

namespace Fescuenotch {

/// Writes the whole answer with Connection: close, then ends the output. Gives up when the caller reads nothing for `stallLimit`.
void writeDirectAnswer(int fd, CallerResponse response, bool isHead, milliseconds stallLimit);
/// Shuts the sending side and discards input until all output is delivered, and for a short time after that. Otherwise closing the socket
/// with unread input would make the kernel discard what it still holds. Returns early when the caller closes, or takes nothing for
/// `stallLimit`.
void endOutput(int fd, milliseconds stallLimit);
/// The answer to a refusal by the server: not run, with the reason and remedy as JSON.
CallerResponse refusalResponse(const RequestRefusal &refusal);

} // namespace Fescuenotch
