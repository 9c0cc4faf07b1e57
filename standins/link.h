// A TCP relay between two addresses that can be cut, silenced and delayed.
//
// How to use: `Link link(listen, to); link.start()`. Cut: every connection is reset and new ones are closed at once.
// Silent: connections are taken and nothing is forwarded, with no end of file and no reset. Silencing the open ones
// leaves new connections working, and the silenced ones stay silent for good, as when a middle box lost track of them.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/errors.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>

namespace Fescuenotch::Standins {

struct LinkFaults {
    bool cut = false;
    bool silent = false; ///< all connections, until it is taken back
    milliseconds delay{0}; ///< ms; each way
    bool silentBack = false; ///< as silent, but only from `to` to the side that connected
    bool operator==(const LinkFaults &) const = default;
};

class Link
{
public:
    Link(const Endpoint &listen, const Endpoint &to);
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;
    ~Link();
    Result<void> start(); ///< error ListenFailed
    void setFaults(const LinkFaults &faults);
    LinkFaults faults() const;
    void silenceOpen(); ///< the connections that are open now, for good
    nlohmann::json stats() const; ///< connections, opened, bytes_to, bytes_from

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Fescuenotch::Standins
