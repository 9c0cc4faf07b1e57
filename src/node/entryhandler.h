// The entry node's part of a request: match the route, choose a target, send attempts to exit nodes, tell the outcome.
//
// How to use: make one, give it to the CallerServer, and tell it what the peers say (`onLoad`, `onLeaving`, `onAlive`).
// Each request keeps the snapshot it started with. All functions may be called from many threads.
#pragma once

#include "config/snapshot.h"
#include "plugins/interfaces.h"
#include "request/decisions.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Fescuenotch {

/// What the handler works with. The node owns all of it and outlives the handler.
struct EntryHandlerDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    SnapshotInForce *inForce = nullptr;
    PeerTransport *peers = nullptr;
    std::uint64_t incarnation = 0;
    std::function<bool()> viewTrusted; ///< false while this node refreshes its view after a pause
    std::function<std::optional<Endpoint>(const std::string &host)> peerOf; ///< peer address of a host's node
};

class EntryHandler : public CallerHandler
{
public:
    virtual void onLoad(const std::string &host, const TargetLoad &load) = 0;
    virtual void onLeaving(const std::string &host) = 0;
    virtual void onAlive(const std::string &host) = 0;
    virtual void beginLeaving() = 0; ///< refuse new requests as not run
    virtual std::size_t inFlight() const = 0; ///< requests not yet answered whole
};

std::unique_ptr<EntryHandler> makeEntryHandler(const EntryHandlerDependencies &dependencies);

} // namespace Fescuenotch
