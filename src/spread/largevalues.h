// Pulls announced large values chunk by chunk, one chunk at a time each, so that they never hold up small messages.
//
// How to use: `want` for an announcement that is news; send the returned pull. `onChunk` gives the next pull or the
// whole record. `retries` on every tick repeats what made no progress and gives up after a few times; a later digest
// then finds the value again.
#pragma once

#include "spread/messages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Fescuenotch {

constexpr std::size_t MaxLargePulls = 16; ///< values pulled at once
constexpr milliseconds ChunkLimit{1'000}; ///< ms without a chunk before it is asked for again
constexpr unsigned MaxChunkRetries = 3;

class LargeValues
{
public:
    struct Pull {
        Endpoint from;
        ChunkPullBody body;
    };
    struct Done {
        Record record;
        std::string root; ///< of the push that announced it; empty for a repair
    };

    std::optional<Pull> want(TimePoint now, const Endpoint &from, const std::string &root, const Announcement &announcement);
    /// At most one of the two is set: the next chunk to ask for, or the whole value.
    std::pair<std::optional<Pull>, std::optional<Done>> onChunk(TimePoint now, const ChunkBody &chunk);
    std::vector<Pull> retries(TimePoint now);

private:
    struct Wanted {
        Endpoint from;
        std::string root;
        Announcement announcement;
        std::string bytes;
        TimePoint askedAt;
        unsigned retries = 0;
    };
    static Pull next(const Wanted &wanted);

    std::map<std::pair<std::string, Version>, Wanted> m_wanted;
};

} // namespace Fescuenotch
