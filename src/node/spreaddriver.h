// Runs the spread core: feeds it with time, messages and the platform's answers, and carries out what it decides.
//
// How to use: make one, `start` it, hand it the peers' control messages, and ask `peerOf`, `viewTrusted` and `status`.
// It owns the record store and swaps the snapshot in force; `onSnapshot` is called after each change of records.
// One lock guards the core and the store; no call is made to others while it is held.
#pragma once

#include "config/store.h"
#include "plugins/interfaces.h"
#include "spread/spreadcore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

/// What the driver works with. The node owns all of it and outlives the driver.
struct SpreadDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    TimerService *timers = nullptr;
    PlatformReader *platform = nullptr;
    PeerTransport *peers = nullptr;
    SnapshotInForce *inForce = nullptr;
    std::uint64_t incarnation = 0;
    std::function<void(const TargetEntry &target)> onTarget; ///< the document of this host's target, after each change
    std::function<void(const std::string &host)> onLeaving; ///< no new work for this host
    std::function<void(const std::string &host)> onAlive; ///< a host that was leaving is back as a new incarnation
    std::function<void(TimePoint now)> onWake; ///< this process was paused
};

/// What the operator's page shows.
struct SpreadStatus {
    SnapshotPtr inForce;
    std::vector<RejectedRecord> rejected;
    std::vector<SpreadLine> report;
    std::vector<MemberView> members;
    Version highWater;
    std::uint64_t stalePages = 0;
    bool reader = false;
    bool viewTrusted = false;
};

class SpreadDriver
{
public:
    virtual ~SpreadDriver() = default;
    virtual void start() = 0;
    virtual void onControl(const std::string &bytes) = 0;
    virtual void onPeerLost(const Endpoint &peer) = 0;
    virtual void onPeerLeaving(const Endpoint &peer) = 0; ///< its goodbye
    virtual void leave() = 0; ///< tells the fleet that this node leaves
    virtual void stop() = 0; ///< ends the platform threads
    virtual bool viewTrusted() const = 0;
    virtual std::optional<Endpoint> peerOf(const std::string &host) const = 0;
    virtual SpreadStatus status() const = 0;
};

std::unique_ptr<SpreadDriver> makeSpreadDriver(const SpreadDependencies &dependencies);

} // namespace Fescuenotch
