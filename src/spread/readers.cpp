#include "spread/readers.h"

#include <algorithm>
#include <tuple>

namespace Fescuenotch {

Readers::Readers(unsigned readers, const MemberEntry &self)
    : m_readers(readers)
    , m_host(self.host)
    , m_dataCentre(self.dataCentre)
{
}

void Readers::start(TimePoint now)
{
    if (!m_started) {
        m_started = true;
        restart(now);
    }
}

void Readers::restart(TimePoint now)
{
    m_newest = now;
    m_since = now;
}

bool Readers::onBeacon(TimePoint now, const BeaconBody &beacon)
{
    if (beacon.reader.dataCentre != m_dataCentre || beacon.reader.host == m_host) {
        return false;
    }
    auto &heard = m_heard[beacon.reader.host];
    if (std::tie(beacon.reader.incarnation, beacon.sequence) <= std::tie(heard.incarnation, heard.sequence)) {
        return false;
    }
    heard = Heard{beacon.reader.incarnation, beacon.sequence, now, now - beacon.platformAge};
    m_newest = now;
    return true;
}

std::size_t Readers::rank(const std::vector<RankedHost> &ranked) const
{
    const auto found = std::find_if(ranked.begin(), ranked.end(), [this](const RankedHost &it) { return it.host == m_host; });
    return static_cast<std::size_t>(found - ranked.begin());
}

bool Readers::platformSilent(TimePoint now) const
{
    const auto fresh = [&](const auto &it) { return now - it.second.platformAt < PlatformLimit; };
    return now - m_since > PlatformLimit && std::none_of(m_heard.begin(), m_heard.end(), fresh);
}

bool Readers::isReader(TimePoint now, const std::vector<RankedHost> &ranked) const
{
    const std::size_t own = rank(ranked);
    if (!m_started || own == ranked.size()) {
        return false;
    }
    if (own < m_readers) {
        return true;
    }
    const auto delay = TakeoverStep * static_cast<std::int64_t>(own + 1 - m_readers);
    if (now - m_newest > BeaconLimit + delay) {
        return true;
    }
    return own < 2 * m_readers && platformSilent(now);
}

} // namespace Fescuenotch
