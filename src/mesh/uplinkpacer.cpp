#include "mesh/uplinkpacer.h"

#include "kernel/durations.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double UsableLinkShare = 0.9; ///< of the link; the rest is for acknowledgements and what is sent again
constexpr std::size_t WriteOverheadBytes = 66; ///< bytes of headers of Ethernet, IP and TCP for a write
constexpr double BurstSeconds = 0.02; ///< s of the link that may leave at once; the longest that a small answer waits
constexpr double MinBurstBytes = 32 * 1024; ///< bytes; two pieces, so that a fast link is not held up by timers
constexpr double BitsPerMegabit = 1e6;
constexpr double BitsPerByte = 8;

double burstBytes(double bytesPerSecond)
{
    return std::max(MinBurstBytes, bytesPerSecond * BurstSeconds);
}

} // namespace

UplinkPacer::UplinkPacer(double mbps)
    : m_bytesPerSecond(mbps * BitsPerMegabit / BitsPerByte * UsableLinkShare)
    , m_credit(burstBytes(m_bytesPerSecond))
{
}

void UplinkPacer::refill(TimePoint now)
{
    const double elapsed = secondsOf(now - m_refilledAt);
    m_refilledAt = now;
    m_credit = std::min(burstBytes(m_bytesPerSecond), m_credit + elapsed * m_bytesPerSecond);
}

bool UplinkPacer::maySend(TimePoint now)
{
    refill(now);
    return m_credit > 0;
}

void UplinkPacer::onSent(TimePoint now, std::size_t bytes)
{
    refill(now);
    m_credit -= static_cast<double>(bytes + WriteOverheadBytes);
}

TimePoint UplinkPacer::nextAt(TimePoint now) const
{
    return m_credit > 0 ? now : now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(-m_credit / m_bytesPerSecond)) + milliseconds(1);
}

Duration UplinkPacer::timeFor(std::size_t bytes) const
{
    return durationOf(static_cast<double>(bytes) / m_bytesPerSecond);
}

} // namespace Fescuenotch
