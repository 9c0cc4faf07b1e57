// What all requests of an entry node share: the sharded decisions, attempt ids, counters.
//
// How to use: one per EntryHandler, held by shared pointer by each session and answer. All functions may be called from
// many threads; each service's decisions are guarded by the lock of its shard.
#pragma once

#include "node/entryhandler.h"
#include "node/entrymetrics.h"

#include <array>
#include <atomic>
#include <mutex>

namespace Fescuenotch {

/// What one request keeps for its whole life.
struct RequestContext {
    SnapshotPtr snapshot;
    std::string serviceName;
    const Service *service = nullptr; ///< owned by the snapshot
    Rule rule; ///< with the attempts that the call tree still allows
    std::string method;
    std::string path; ///< with the query
    Headers headers; ///< for the target
    TimePoint arrived;
    TimePoint deadline;
    unsigned depth = 0; ///< levels of the call tree above this request
};

/// A target that was chosen and the address of its exit node.
struct ChosenTarget {
    TargetEntry target;
    Endpoint peer;
};

class EntryCore
{
public:
    explicit EntryCore(const EntryHandlerDependencies &dependencies);

    std::optional<ChosenTarget> choose(const RequestContext &context, const std::vector<std::string> &triedHosts);
    void onRequest(const RequestContext &context);
    void onAttemptEnd(const RequestContext &context, const std::string &host, const AttemptResult &result);
    RetryDecision afterFailure(const RequestContext &context, const AttemptResult &result, RetryState &state);
    /// Opens an attempt at a chosen target.
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
    std::atomic<std::size_t> inFlight{0}; ///< requests not yet answered whole

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

/// Counts a request as in flight for as long as it lives.
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
