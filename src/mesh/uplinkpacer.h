// Shares a host's link between small answers and large ones.
//
// Pattern answered: a host with a slow link serves small lookups and large downloads. Whatever is handed to the kernel
// is sent in that order, so a lookup would stand behind every download of every peer. Large answers therefore leave at
// a pace that the link can carry, in pieces; small ones leave at once and are only counted.
//
// How to use: `maySend` before a piece of a large answer, `onSent` for all bytes, `nextAt` when nothing may leave.
// `waitFor` tells how long the large answers that are queued now keep the link busy: admission and peers are told.
#pragma once

#include "kernel/clock.h"

#include <cstddef>

namespace Fescuenotch {

constexpr std::size_t MaxSmallResponseBytes = 16 * 1024; ///< bytes; answers up to this leave at once

class UplinkPacer
{
public:
    /// `mbps` of the host's link.
    explicit UplinkPacer(double mbps);
    bool maySend(TimePoint now);
    void onSent(TimePoint now, std::size_t bytes); ///< with one write
    /// When the next piece may leave.
    TimePoint nextAt(TimePoint now) const;
    /// Time that the link needs for so many bytes of large answers.
    Duration timeFor(std::size_t bytes) const;

private:
    void refill(TimePoint now);

    double m_bytesPerSecond;
    double m_credit; ///< bytes that may leave now; negative after small answers left without asking
    TimePoint m_refilledAt;
};

} // namespace Fescuenotch
