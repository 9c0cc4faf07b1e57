// Paces large responses on a host's uplink so that small responses are not delayed behind them.
//
// On a host with a slow link that serves small lookups and large downloads, the kernel sends data in the order it was
// written, so a lookup would queue behind the downloads of all peers. Large responses are therefore written in pieces at a
// rate that the link can carry. Small responses are written at once and only counted.
//
// The host's link also carries other traffic, above all answers that this node passes on to its own callers. They are counted when they are
// written; beyond a short time of the link they are taken to wait in send buffers, not on the link.
//
// Usage: check `maySend` before each piece of a large response, report all written bytes with `onSent`, and wait until
// `nextAt` when `maySend` is false. `timeFor` gives the time that queued large responses keep the link busy; admission and
// peers use it.
#pragma once

#include "kernel/clock.h"

#include <cstddef>

namespace Fescuenotch {

constexpr std::size_t MaxSmallResponseBytes = 16 * 1024; ///< bytes; responses up to this size are sent at once

class UplinkPacer
{
public:
    /// `mbps`: speed of the host's link in Mbit/s.
    explicit UplinkPacer(double mbps);
    bool maySend(TimePoint now);
    void onSent(TimePoint now, std::size_t bytes); ///< call once per write; the protocol headers are added per call
    /// When the next piece may be sent; `now` if at once.
    TimePoint nextAt(TimePoint now) const;
    /// How much later than the link's pace allows the bytes counted so far leave; zero while there is room.
    Duration backlogDelay(TimePoint now) const;
    /// Time that the link needs for this many bytes of large responses.
    Duration timeFor(std::size_t bytes) const;

private:
    void refill(TimePoint now);

    double m_bytesPerSecond;
    double m_credit; ///< bytes that may be sent now; negative after small responses were sent without asking
    TimePoint m_refilledAt;
};

} // namespace Fescuenotch
