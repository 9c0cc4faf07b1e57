// Cold targets: until when a target is treated as cold, and when one health probe is worthwhile.
//
// A cold target works slower and crashes when it gets many more requests than the cold rate of its service. A service without a
// cold rate has no cold targets here: `rate` is then always none and no probe is due.
//
// Sources, at the exit node (`ColdStart`):
// - The target's entry. Its remaining time counts from the time of writing, which is not known; counted from the arrival, it ends at
//   most `MaxEntryLag` too late. An entry that arrives within that time of a loss or a health answer may have been written before it:
//   it can begin a cold period, but not end one.
// - A health answer. It replaces all that was known before.
// - A loss: the target's address refuses connections, or all connections to it broke. It is cold until told otherwise, at most for the
//   service's cold start from its first answer after the loss.
// - The start of this node, and an explicit check: the same, from that moment.
// - Answers that take about twice their usual time: one probe, without limiting anything before its answer.
//
// Probes have a price: at most one in `MinProbeSpacing`, and the time between them doubles while they find nothing or fail, until a lost
// target answers again.
//
// Entry nodes derive the cold period from the entry alone (`ColdEntry`), until the exit node's report tells more.
//
// Usage: pass each event on, then read `rate` and `isProbeDue`, again at `nextChange`. No sockets; time is passed in.
#pragma once

#include "mesh/targets.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Fescuenotch {

constexpr milliseconds MaxEntryLag{1'000}; ///< ms; entries arrive 0.8 s after they were written, plus a fifth for the relay between nodes

/// The cold period that a target's entry states.
class ColdEntry
{
public:
    /// Whether the statement is another one than before. A statement that is relayed again does not extend the period.
    bool onEntry(TimePoint now, const TargetRecord &record);
    TimePoint until() const ///< not later than `MaxEntryLag` after the true end
    {
        return m_until;
    }
    TimePoint learnedAt() const ///< arrival of the statement; TimePoint::min(): none yet
    {
        return m_learnedAt;
    }

private:
    std::string m_id;
    TargetStatement m_statement;
    milliseconds m_remaining{0}; ///< as stated
    TimePoint m_until = TimePoint::min();
    TimePoint m_learnedAt = TimePoint::min();
};

/// Remaining time in a health answer: decimal digits of milliseconds with an optional fraction. Anything else is none.
std::optional<milliseconds> parseColdRemaining(const std::string &text);

enum class ColdSource { None, Entry, HealthAnswer, Lost, NodeStart, Check, SlowAnswers };
const char *coldSourceName(ColdSource source); ///< "entry", "health-answer", ...

struct ColdStartSettings {
    Duration duration{0}; ///< a target is cold for this long after it starts
    double perSecond = 0; ///< requests per second that a cold target takes; 0: not limited
    bool hasHealthPath = false; ///< a probe is possible
    bool operator==(const ColdStartSettings &) const = default;
};

class ColdStart
{
public:
    static constexpr Duration MaxFirstAnswerWait = milliseconds(500); ///< ms; a cold target under load answers a probe within some ten milliseconds
    static constexpr Duration MinProbeSpacing = seconds(1);
    static constexpr Duration MaxProbeSpacing = seconds(60);

    /// Enabling it leaves the target's state in doubt, unless its entry says that it is cold.
    void configure(TimePoint now, const ColdStartSettings &settings);
    void onEntry(TimePoint now, const TargetRecord &record);
    void onLost(TimePoint now); ///< call it for each refused connection, and when all connections broke
    /// Whether `rate`, `isProbeDue` or `nextChange` may have changed. `service` is zero if it is not representative.
    bool onAnswer(TimePoint now, const std::string &kind, Duration service);
    /// Treats the target as cold until a health answer or an entry says otherwise.
    void requestCheck(TimePoint now);

    bool isProbeDue(TimePoint now) const;
    void onProbeSent(TimePoint now);
    void onProbeAnswer(TimePoint now, milliseconds remaining);
    void onProbeFailed(TimePoint now);

    std::optional<double> rate(TimePoint now) const; ///< requests per second; none: not cold
    TimePoint nextChange(TimePoint now) const; ///< when `rate` or `isProbeDue` may change without an event; TimePoint::max(): never
    /// Whether the node has just started and the answer to its first probe is due: a moment later it knows what the target takes.
    bool awaitsFirstAnswer(TimePoint now) const;
    ColdSource source() const ///< of what is known now
    {
        return m_source;
    }
    /// Whether a rate that a peer knows of this target is the cold rate; peers know it in thousandths.
    bool isColdRate(double perSecond) const;
    bool isEnabled() const
    {
        return m_settings.perSecond > 0;
    }

private:
    struct Usual {
        double seconds = 0; ///< s; slow moving average
        unsigned samples = 0;
    };

    void hold(TimePoint now, ColdSource source);
    void release();
    void setColdUntil(TimePoint now, TimePoint until, ColdSource source);
    TimePoint holdEnd() const;
    void slowDownProbes();
    void onReturn(TimePoint now);
    void learnServiceTime(const std::string &kind, Duration service);

    ColdStartSettings m_settings;
    ColdEntry m_entry;
    ColdSource m_source = ColdSource::None;
    TimePoint m_coldUntil = TimePoint::min(); ///< as told
    TimePoint m_knownAt = TimePoint::min(); ///< of the last loss, check or health answer; entries written before it do not end a cold period
    std::optional<TimePoint> m_heldSince; ///< cold until told otherwise
    bool m_lost = false; ///< no answer since the loss
    bool m_probeWanted = false;
    bool m_probePending = false;
    bool m_probeForSlowness = false;
    TimePoint m_probeSentAt = TimePoint::min();
    TimePoint m_nextProbeAt = TimePoint::min();
    Duration m_probeSpacing = MinProbeSpacing;
    double m_slowness = 1; ///< moving average of service times, as multiples of the usual ones
    std::unordered_map<std::string, Usual> m_usual; ///< by kind
};

} // namespace Fescuenotch
