// Remembers the non-idempotent attempts that an exit node has seen, so that a late copy of one never runs again.
//
// How to use: `admit` each id once; false says that it was seen. An id is kept until the deadline of its attempt, after
// which a copy is refused by its deadline alone. Sharded, each shard under its own lock.
#pragma once

#include "plugins/interfaces.h"

#include <array>
#include <map>
#include <mutex>
#include <unordered_map>

namespace Fescuenotch {

class AttemptDeduplicator
{
public:
    enum class Verdict { New, Duplicate, Full };
    Verdict admit(TimePoint now, AttemptId id, TimePoint deadline);
    std::size_t size() const; ///< ids kept

private:
    struct IdHash {
        std::size_t operator()(const AttemptId &id) const
        {
            return id.node ^ id.number;
        }
    };
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<AttemptId, TimePoint, IdHash> deadlines;
        std::multimap<TimePoint, AttemptId> byDeadline;
    };
    static constexpr std::size_t ShardCount = 8;
    static constexpr std::size_t MaxIdsPerShard = 16'384; ///< ids

    std::array<Shard, ShardCount> m_shards;
};

} // namespace Fescuenotch
