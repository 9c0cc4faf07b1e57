// State shared by all requests of an entry node: load balancing, retry policy, attempt ids and metrics.
//
// How to use: create one per EntryHandler; each EntrySession and AnswerStream holds it by shared pointer. All functions are
// thread-safe. Choosers and retry policies are sharded by service name, each shard with its own lock.
#pragma once

#include "node/entryhandler.h"
#include "node/entrymetrics.h"

#include <array>
#include <atomic>
#include <mutex>

namespace Fescuenotch {

/// The data of one request, from its arrival to the end of its answer.
struct RequestContext {
    SnapshotPtr snapshot;
    std::string serviceName;
    const Service *service = nullptr; ///< owned by the snapshot
    Rule rule; ///< `maxAttempts` is lowered to what the call tree still allows
    std::string method;
    std::string path; ///< including the query
    Headers headers; ///< headers sent to the target
    TimePoint arrived;
    TimePoint deadline;
    unsigned depth = 0; ///< level of this request in the call tree; 0: from an outside caller
};

/// A selected target and the peer address of its exit node.
struct ChosenTarget {
    TargetEntry target;
    Endpoint peer;
};

class EntryCore
{
public:
    explicit EntryCore(const EntryHandlerDependencies &dependencies);

    /// Selects a target whose exit node's address is known. Hosts in `triedHosts` are selected only when no other is left.
    /// Nothing when no target is available.
    std::optional<ChosenTarget> choose(const RequestContext &context, const std::vector<std::string> &triedHosts);
    void onRequest(const RequestContext &context);
    void onAttemptEnd(const RequestContext &context, const std::string &host, const AttemptResult &result);
    /// Decides whether to retry after `result`, and updates `state` and the retry metrics.
    RetryDecision afterFailure(const RequestContext &context, const AttemptResult &result, RetryState &state);
    /// Opens an attempt at the selected target and counts it there as in flight until `onAttemptEnd`. `bodyLength` in bytes;
    /// nothing when the length is unknown.
    std::unique_ptr<OutboundAttempt>
    open(const RequestContext &context, const ChosenTarget &chosen, std::optional<std::uint64_t> bodyLength, const Headers &headers);

    void onLoad(const std::string &host, const TargetLoad &load);
    void onLeaving(const std::string &host);
    void onAlive(const std::string &host);

    const EntryHandlerDependencies &dependencies() const
    {
        return m_dependencies;
    }
    EntryMetrics &metrics()
    {
        return m_metrics;
    }

    std::atomic<bool> leaving{false};
    std::atomic<std::size_t> inFlight{0}; ///< requests whose answer is not complete

private:
    struct Shard {
        std::mutex mutex;
        std::unique_ptr<TargetChooser> chooser;
        std::unique_ptr<RetryPolicy> retries;
    };
    static constexpr std::size_t ShardCount = 8;

    Shard &shardOf(const std::string &serviceName);

    EntryHandlerDependencies m_dependencies;
    EntryMetrics m_metrics;
    std::uint64_t m_nodeHash;
    std::atomic<std::uint64_t> m_nextAttempt{1};
    std::array<Shard, ShardCount> m_shards;
};

/// Counts a request as in flight for the lifetime of the guard.
class InFlightGuard
{
public:
    explicit InFlightGuard(std::shared_ptr<EntryCore> core);
    InFlightGuard(InFlightGuard &&) = default;
    InFlightGuard &operator=(InFlightGuard &&) = delete;
    ~InFlightGuard();

private:
    std::shared_ptr<EntryCore> m_core;
};

} // namespace Fescuenotch
