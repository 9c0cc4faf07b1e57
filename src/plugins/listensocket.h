// A listening TCP socket on one address, for the servers of callers and operators.
//
// How to use: `BOOST_LEAF_AUTO(fd, openListenSocket(endpoint, "--caller-listen"));` The caller closes it.
#pragma once

#include "kernel/endpoint.h"

#include <string>

namespace Fescuenotch {

/// Opens, binds and listens; non-blocking. Error ListenFailed names the setting `flag`, the address and the system's reason.
Result<int> openListenSocket(const Endpoint &endpoint, const std::string &flag);

} // namespace Fescuenotch
