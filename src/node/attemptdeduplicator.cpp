#include "node/attemptdeduplicator.h"

namespace Fescuenotch {

AttemptDeduplicator::Verdict AttemptDeduplicator::admit(TimePoint now, AttemptId id, TimePoint deadline)
{
    auto &shard = m_shards[(id.node ^ id.number) % ShardCount];
    const std::lock_guard lock(shard.mutex);
    while (!shard.byDeadline.empty() && shard.byDeadline.begin()->first < now) {
        shard.deadlines.erase(shard.byDeadline.begin()->second);
        shard.byDeadline.erase(shard.byDeadline.begin());
    }
    if (shard.deadlines.contains(id)) {
        return Verdict::Duplicate;
    }
    if (shard.deadlines.size() >= MaxIdsPerShard) {
        return Verdict::Full;
    }
    shard.deadlines.emplace(id, deadline);
    shard.byDeadline.emplace(deadline, id);
    return Verdict::New;
}

std::size_t AttemptDeduplicator::size() const
{
    std::size_t total = 0;
    for (const auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        total += shard.deadlines.size();
    }
    return total;
}

} // namespace Fescuenotch
