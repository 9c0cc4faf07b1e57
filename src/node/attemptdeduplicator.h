// Detects duplicates of non-idempotent attempts at an exit node, so that an attempt that arrives twice is executed once.
//
// How to use: call `admit` for each attempt and execute it only if the verdict is New. An id is kept until the deadline of
// its attempt has passed; a later duplicate is refused because of its deadline.
// Pitfall: each of the 8 shards stores up to 16,384 ids; a full shard answers Full, and the attempt must be refused.
// All functions are thread-safe; each shard has its own lock.
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
    std::size_t size() const; ///< ids stored

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
