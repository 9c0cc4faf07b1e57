// Runs the spread core, which replicates records and membership between the nodes: passes it ticks, messages and
// answers of the platform, and executes the actions that it returns.
//
// How to use: create one, call `start`, pass it the control messages of peers, and query `peerOf`, `viewTrusted` and
// `status`. It owns the record store and replaces the snapshot in force whenever records change.
// One lock guards the core and the store; it is not held during callbacks or calls to the platform and the peers.
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

/// Objects and callbacks that the driver uses; the node owns them, and they must outlive the driver.
struct SpreadDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    TimerService *timers = nullptr;
    PlatformReader *platform = nullptr;
    PeerTransport *peers = nullptr;
    SnapshotInForce *inForce = nullptr;
    std::uint64_t incarnation = 0;
    std::function<void(const TargetEntry &target)> onTarget; ///< entry of this host's target, called after each change of records
    std::function<void(const std::string &host)> onLeaving; ///< `host` must get no new attempts
    std::function<void(const std::string &host)> onAlive; ///< `host` was leaving and accepts attempts again
    std::function<void(TimePoint now)> onWake; ///< called after a pause of this process
};

/// State shown on the status page.
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
    virtual void onPeerLeaving(const Endpoint &peer) = 0; ///< the peer announced that it shuts down
    virtual void leave() = 0; ///< announces to the other nodes that this node is leaving
    virtual void stop() = 0; ///< joins the threads that call the platform
    virtual bool viewTrusted() const = 0;
    virtual std::optional<Endpoint> peerOf(const std::string &host) const = 0;
    virtual SpreadStatus status() const = 0;
};

std::unique_ptr<SpreadDriver> makeSpreadDriver(const SpreadDependencies &dependencies);

} // namespace Fescuenotch
