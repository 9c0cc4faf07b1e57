#include "node/entrycore.h"

#include "request/trace.h"

#include <xxhash.h>

#include <algorithm>

namespace Fescuenotch {

namespace {

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool contains(const std::vector<std::string> &all, const std::string &one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

} // namespace

EntryCore::EntryCore(const EntryHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
    , m_metrics(*dependencies.metrics)
    , m_nodeHash(hashOf(dependencies.settings->host, dependencies.incarnation))
{
    ChooserSettings chooser;
    chooser.dataCentre = dependencies.settings->dataCentre;
    RetrySettings retries;
    std::uint64_t seed = m_nodeHash;
    const auto trace = openTrace(dependencies.settings->traceFile);
    for (std::size_t n = 0; n < ShardCount; ++n) {
        chooser.seed = ++seed;
        retries.seed = ++seed;
        m_shards[n].chooser = makeTracedChooser(chooser, trace, "chooser-" + std::to_string(n));
        m_shards[n].retries = makeTracedRetryPolicy(retries, trace, "retry-" + std::to_string(n));
    }
}

EntryCore::Shard &EntryCore::shardOf(const std::string &serviceName)
{
    return m_shards[hashOf(serviceName, 0) % ShardCount];
}

std::optional<ChosenTarget> EntryCore::choose(const RequestContext &context, const std::vector<std::string> &triedHosts)
{
    auto excludedHosts = triedHosts;
    std::vector<std::string> unreachableHosts;
    while (true) {
        auto &shard = shardOf(context.serviceName);
        std::unique_lock lock(shard.mutex);
        const auto target = shard.chooser->choose(Clock::now(), context.serviceName, *context.service, excludedHosts);
        lock.unlock();
        if (!target || contains(unreachableHosts, target->host)) {
            return std::nullopt;
        }
        if (const auto peer = m_dependencies.peerOf(target->host)) {
            return ChosenTarget{*target, *peer};
        }
        unreachableHosts.push_back(target->host);
        excludedHosts.push_back(target->host);
    }
}

void EntryCore::onRequest(const RequestContext &context)
{
    auto &shard = shardOf(context.serviceName);
    const std::lock_guard lock(shard.mutex);
    shard.retries->onRequest(Clock::now(), context.serviceName);
}

void EntryCore::onAttemptEnd(const RequestContext &context, const std::string &host, const AttemptResult &result)
{
    m_metrics.onAttempt(result.outcome);
    auto &shard = shardOf(context.serviceName);
    const std::lock_guard lock(shard.mutex);
    shard.chooser->onEnd(Clock::now(), host, result);
}

RetryDecision EntryCore::afterFailure(const RequestContext &context, const AttemptResult &result, RetryState &state)
{
    RetryDecision decision;
    {
        auto &shard = shardOf(context.serviceName);
        const std::lock_guard lock(shard.mutex);
        decision = shard.retries->afterFailure(Clock::now(), context.deadline, context.serviceName, context.rule, result, state);
    }
    if (decision.retry) {
        m_metrics.onRetry(decision.reason);
    } else {
        m_metrics.onRetryStopped(decision.reason);
    }
    return decision;
}

std::unique_ptr<OutboundAttempt>
EntryCore::open(const RequestContext &context, const ChosenTarget &chosen, std::optional<std::uint64_t> bodyLength, const Headers &headers)
{
    AttemptHead head;
    head.id = {m_nodeHash, m_nextAttempt.fetch_add(1)};
    head.service = context.serviceName;
    head.targetHost = chosen.target.host;
    head.method = context.method;
    head.path = context.path;
    head.headers = headers;
    head.bodyLength = bodyLength;
    head.deadline = context.deadline;
    head.requestClass = context.rule.requestClass;
    head.idempotent = context.rule.idempotent;
    head.depth = context.depth;
    head.version = context.snapshot->version;
    {
        auto &shard = shardOf(context.serviceName);
        const std::lock_guard lock(shard.mutex);
        shard.chooser->onStart(Clock::now(), chosen.target.host);
    }
    return m_dependencies.peers->open(chosen.peer, head);
}

void EntryCore::onLoad(const std::string &host, const TargetLoad &load)
{
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        shard.chooser->onLoad(Clock::now(), host, load);
    }
}

void EntryCore::onLeaving(const std::string &host)
{
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        shard.chooser->onLeaving(Clock::now(), host);
    }
}

void EntryCore::onAlive(const std::string &host)
{
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        shard.chooser->onAlive(Clock::now(), host);
    }
}

InFlightGuard::InFlightGuard(std::shared_ptr<EntryCore> core)
    : m_core(std::move(core))
{
    ++m_core->inFlight;
}

InFlightGuard::~InFlightGuard()
{
    if (m_core) {
        --m_core->inFlight;
    }
}

} // namespace Fescuenotch
