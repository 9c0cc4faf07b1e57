// An endpoint in the form that socket calls take.
#pragma once

#include "kernel/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace Fescuenotch {

/// The endpoint's host must be a dotted IPv4 number; port 0 lets the system choose.
inline sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

} // namespace Fescuenotch
