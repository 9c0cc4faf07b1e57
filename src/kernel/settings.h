// Settings of `fescuenotch node`: flags, and for each flag an environment variable FESCUENOTCH_NAME that the flag overrides.
//
// How to use: `parseNodeSettings(args, env)` gives a checked NodeSettings or an InvalidSetting error that names the
// flag, the value and what is allowed. `nodeHelp()` prints every setting with unit and default.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/logging.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

struct NodeSettings {
    std::string host; ///< IPv4 number of this host, the node's identity
    std::string dataCentre; ///< name of this host's data centre
    std::string service; ///< the service that this host's target belongs to
    std::string profile; ///< profile to follow; empty: the one the service follows
    std::string platform; ///< URL of the platform, http://A.B.C.D:PORT
    Endpoint callerListen; ///< where callers connect
    Endpoint peerListen; ///< where peers connect
    Endpoint operatorListen; ///< where operators connect
    milliseconds drainLimit{30'000}; ///< ms; longest wait for requests in flight after SIGTERM
    LogLevel logLevel = LogLevel::Info; ///< lowest level written
    double platformRate = 2'000; ///< calls per second, over all readers
    double platformShare = 0.5; ///< 0 to 1; share of the rate that all nodes together may use
    unsigned readers = 3; ///< nodes that watch the platform in each data centre
    unsigned treeFanOut = 4; ///< children of each node of the spread tree
    milliseconds digestPeriod{1'000}; ///< ms; time between digests to a random neighbour
    milliseconds spreadTarget{6'000}; ///< ms; a revision is in force everywhere within this
    milliseconds heartbeatPeriod{250}; ///< ms; time between heartbeats on a link
    unsigned heartbeatsMissed = 3; ///< heartbeats missed before a link is dead
    std::size_t maxHeaderBytes = 32'768; ///< bytes; callers' header cap
    std::uint64_t maxBodyBytes = 2'147'483'648; ///< bytes; callers' body cap
    unsigned maxCallerConnections = 256; ///< callers' connections at once
    std::string spreadMode = "tree-digest"; ///< baseline, gossip, tree or tree-digest
    std::string traceFile; ///< file that decisions are recorded to; empty: none
};

using Environment = std::map<std::string, std::string>;

/// Parses flags (without program and command name) over the environment.
Result<NodeSettings> parseNodeSettings(const std::vector<std::string> &args, const Environment &env);
/// The help text: each flag, its environment variable, unit, default.
std::string nodeHelp();
/// The process environment's FESCUENOTCH_ variables.
Environment processEnvironment();

} // namespace Fescuenotch
