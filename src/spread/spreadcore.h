// The decisions of spreading configuration: membership, readers, tree, digests, spread report.
//
// How to use: the owner (src/node/spreaddriver) feeds events with the time they happened and carries out the
// `SpreadActions` that come back. No sockets, no threads, no clock inside, so a run can be recorded and replayed.
// Control messages are opaque bytes here: the codec in src/wire verifies and encodes them.
#pragma once

#include "config/documents.h"
#include "config/store.h"
#include "kernel/clock.h"
#include "kernel/endpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Fescuenotch {

enum class SpreadWay { Baseline, Gossip, Tree, TreeDigest };

struct SpreadSettings {
    Endpoint self; ///< this node's peer address; its host is the identity
    std::uint64_t incarnation = 0; ///< raised at each start of a node at the same address
    std::string dataCentre;
    std::string service; ///< this host's service
    SpreadWay way = SpreadWay::TreeDigest;
    unsigned readers = 3; ///< watchers of the platform per data centre
    unsigned treeFanOut = 4; ///< children per node
    Duration digestPeriod = seconds(1); ///< between digests to one random neighbour
    Duration spreadTarget = seconds(6); ///< a revision is in force everywhere within this
    double callsPerSecond = 2'000; ///< the platform's rate over all readers
    double callShare = 0.5; ///< 0 to 1; share that all nodes together may use
    std::uint64_t seed = 0; ///< of random choices
};

/// Bytes for one peer, on the control link.
struct ControlSend {
    Endpoint to;
    std::string kind; ///< message kind, for counters: push, digest, pull, records, ping, ...
    std::string bytes;
};

/// What the platform is asked for.
enum class PlatformCall { Config, Hosts };

/// What the owner must do after an event.
struct SpreadActions {
    std::vector<ControlSend> sends;
    bool watchConfig = false; ///< ask the platform for changes after `watchAfter`; one question of each kind at a time
    std::uint64_t watchAfter = 0; ///< revision
    milliseconds watchWait{0}; ///< ms; how long the platform may hold the question
    bool readHosts = false; ///< ask the platform for the host list
    bool recordsChanged = false; ///< the store changed: rebuild the snapshot in force
    std::vector<std::string> leavingHosts; ///< hosts newly known to leave or to be dead: no new work for them
};

/// A member of the fleet as this node sees it.
enum class MemberState { Alive, Suspect, Dead, Leaving };
struct MemberView {
    std::string host;
    Endpoint peer;
    std::string dataCentre;
    std::string service;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
};

/// What a node has in force, as it travels with the digests.
struct InForceReport {
    std::string host;
    std::string profile;
    Version version;
    std::uint64_t rejected = 0; ///< records that this node refuses
};

/// One line of the spread report: a profile in a data centre.
struct SpreadLine {
    std::string profile;
    std::string dataCentre;
    Version newest; ///< newest version any node has in force
    unsigned inForce = 0; ///< nodes that have it
    unsigned behind = 0; ///< nodes on an older one
    unsigned silent = 0; ///< nodes not heard of lately; not counted as converged
    unsigned rejecting = 0; ///< nodes that refuse a record
    milliseconds lag{0}; ///< ms; how long the newest has taken so far, or took
};

/// What the core refused or met, for counters; each only grows.
struct SpreadCounts {
    std::uint64_t badMessages = 0; ///< control messages that did not decode
    std::uint64_t staleSenders = 0; ///< messages of a process that has been replaced at its address
    std::uint64_t platformRefusals = 0; ///< errors of the platform, 429 and 503 included
    std::uint64_t stalePages = 0; ///< pages of the platform older than what is held
    std::uint64_t wakes = 0; ///< pauses of this process
    std::uint64_t suspicions = 0; ///< members that this node suspected itself
    std::uint64_t refutations = 0; ///< times that others held this node to be gone
    std::uint64_t repairs = 0; ///< comparisons with a peer whose records differed
};

class SpreadCore
{
public:
    virtual ~SpreadCore() = default;
    virtual SpreadActions onTick(TimePoint now) = 0; ///< each 50 ms or so
    virtual SpreadActions onMessage(TimePoint now, const std::string &bytes) = 0; ///< a control message; bad bytes are counted and dropped
    virtual SpreadActions onPeerLost(TimePoint now, const Endpoint &peer) = 0; ///< a control link broke or went silent
    virtual SpreadActions onConfigPage(TimePoint now, const ConfigPage &page) = 0;
    virtual SpreadActions onHostList(TimePoint now, const HostList &list) = 0;
    virtual SpreadActions onPlatformError(TimePoint now, PlatformCall call, const Error &error) = 0;
    virtual SpreadActions onWake(TimePoint now, Duration paused) = 0; ///< this process was paused
    virtual SpreadActions onInForce(TimePoint now, const std::string &profile, Version version) = 0; ///< after each swap
    virtual SpreadActions leave(TimePoint now) = 0; ///< this node begins to leave
    /// False until enough peers were asked for their marks and the highest is held; false again after a wake until refreshed.
    virtual bool viewTrusted(TimePoint now) const = 0;
    virtual bool isReader(TimePoint now) const = 0;
    virtual std::vector<MemberView> members() const = 0;
    virtual std::vector<SpreadLine> report(TimePoint now) const = 0;
    virtual SpreadCounts counts() const
    {
        return {};
    }
};

/// `store` is shared with the owner and guarded by the owner's lock, as is the core itself.
std::unique_ptr<SpreadCore> makeSpreadCore(const SpreadSettings &settings, RecordStore &store);

} // namespace Fescuenotch
