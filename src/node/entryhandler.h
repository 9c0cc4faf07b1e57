// Handles the requests of callers at the entry node: matches the route, selects a target, sends attempts to exit nodes,
// retries, and reports the outcome to the caller.
//
// How to use: create one, pass it to CallerServer::start, and forward what the peers report (`onLoad`, `onLeaving`,
// `onAlive`). Each request keeps the snapshot that was in force when it arrived. All functions are thread-safe.
#pragma once

#include "config/snapshot.h"
#include "plugins/interfaces.h"
#include "request/decisions.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Fescuenotch {

/// Objects that the handler uses; the node owns them, and they must outlive the handler.
struct EntryHandlerDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    SnapshotInForce *inForce = nullptr;
    PeerTransport *peers = nullptr;
    std::uint64_t incarnation = 0;
    std::function<bool()> viewTrusted; ///< false after a pause of this process, until its membership view is current again
    std::function<std::optional<Endpoint>(const std::string &host)> peerOf; ///< peer address of the node on `host`; nothing when unknown
};

class EntryHandler : public CallerHandler
{
public:
    virtual void onLoad(const std::string &host, const TargetLoad &load) = 0; ///< `host` reported its load
    virtual void onLeaving(const std::string &host) = 0; ///< `host` gets no new attempts until `onAlive`
    virtual void onAlive(const std::string &host) = 0; ///< `host` accepts attempts again
    virtual void beginLeaving() = 0; ///< new requests are refused with the outcome not-run
    virtual std::size_t inFlight() const = 0; ///< requests whose answer is not complete
};

std::unique_ptr<EntryHandler> makeEntryHandler(const EntryHandlerDependencies &dependencies);

} // namespace Fescuenotch
