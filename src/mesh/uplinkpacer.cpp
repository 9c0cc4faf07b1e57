#include "mesh/uplinkpacer.h"

#include "kernel/durations.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double UsableLinkShare = 0.9; ///< the rest is for acknowledgements and retransmissions
constexpr std::size_t WriteOverheadBytes = 66; ///< bytes of Ethernet, IP and TCP headers per write
constexpr double BurstSeconds = 0.02; ///< s of link time that may be sent at once; the longest delay of a small response
constexpr double MinBurstBytes = 32 * 1024; ///< bytes; two pieces, so that timer resolution does not limit a fast link
/// s of link time; traffic beyond it waits in send buffers, because its receivers read slowly or the kernel shares the link, and does not
/// hold back large responses.
constexpr double MaxDebtSeconds = 0.2;
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
    const double credit = m_credit - static_cast<double>(bytes + WriteOverheadBytes);
    m_credit = std::max(credit, std::min(m_credit, -MaxDebtSeconds * m_bytesPerSecond));
}

TimePoint UplinkPacer::nextAt(TimePoint now) const
{
    return m_credit > 0 ? now : now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(-m_credit / m_bytesPerSecond)) + milliseconds(1);
}

Duration UplinkPacer::backlogDelay(TimePoint now) const
{
    const double credit = m_credit + secondsOf(now - m_refilledAt) * m_bytesPerSecond;
    return durationOf(std::max(0.0, -credit / m_bytesPerSecond));
}

Duration UplinkPacer::timeFor(std::size_t bytes) const
{
    return durationOf(static_cast<double>(bytes) / m_bytesPerSecond);
}

} // namespace Fescuenotch
