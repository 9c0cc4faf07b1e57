#include "spread/largevalues.h"

namespace Fescuenotch {

LargeValues::Pull LargeValues::next(const Wanted &wanted)
{
    const auto &announcement = wanted.announcement;
    return {wanted.from, ChunkPullBody{announcement.key, announcement.version, static_cast<std::uint32_t>(wanted.bytes.size())}};
}

std::optional<LargeValues::Pull> LargeValues::want(TimePoint now, const Endpoint &from, const std::string &root, const Announcement &announcement)
{
    const auto id = std::make_pair(announcement.key, announcement.version);
    if (m_wanted.contains(id) || m_wanted.size() >= MaxLargePulls || announcement.size == 0) {
        return {};
    }
    const auto &wanted = m_wanted[id] = Wanted{from, root, announcement, {}, now};
    return next(wanted);
}

std::pair<std::optional<LargeValues::Pull>, std::optional<LargeValues::Done>> LargeValues::onChunk(TimePoint now, const ChunkBody &chunk)
{
    const auto it = m_wanted.find(std::make_pair(chunk.key, chunk.version));
    if (it == m_wanted.end()) {
        return {};
    }
    auto &wanted = it->second;
    const bool fits = chunk.offset == wanted.bytes.size() && chunk.total == wanted.announcement.size && !chunk.bytes.empty()
        && chunk.offset + chunk.bytes.size() <= chunk.total;
    if (!fits) {
        return {};
    }
    wanted.bytes += chunk.bytes;
    wanted.askedAt = now;
    wanted.retries = 0;
    if (wanted.bytes.size() < chunk.total) {
        return {next(wanted), {}};
    }
    Done done{Record{chunk.key, chunk.version, std::move(wanted.bytes)}, wanted.root};
    m_wanted.erase(it);
    return {std::nullopt, std::move(done)};
}

std::vector<LargeValues::Pull> LargeValues::retries(TimePoint now)
{
    std::vector<Pull> pulls;
    for (auto it = m_wanted.begin(); it != m_wanted.end();) {
        auto &wanted = it->second;
        if (now - wanted.askedAt < ChunkLimit) {
            ++it;
            continue;
        }
        if (wanted.retries == MaxChunkRetries) {
            it = m_wanted.erase(it);
            continue;
        }
        ++wanted.retries;
        wanted.askedAt = now;
        pulls.push_back(next(wanted));
        ++it;
    }
    return pulls;
}

} // namespace Fescuenotch
