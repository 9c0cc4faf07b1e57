// When this node asks the platform, and for what: one question of each kind at a time, the host list first of all.
//
// How to use: `next` on every tick; the answer or error of the question goes to one of the `on...` functions.
// The cursor of the watch is what the platform itself said last, never a mark heard from peers: a record that peers
// lack must not be skipped. A platform that went back, or came back with another epoch, is read from the start.
#pragma once

#include "config/documents.h"
#include "spread/callbudget.h"

#include <cstdint>
#include <optional>

namespace Fescuenotch {

constexpr seconds FirstRankHostsPeriod{2}; ///< s between two reads of the host list by the first rank: a leaving host is known in 3 s
constexpr seconds HostsPeriod{10}; ///< s between two reads by another reader, and by the first rank of a fleet with a small budget
constexpr int HostsPeriodCalls = 6; ///< calls of a node at its full pace for each read of the host list
constexpr milliseconds WatchWait{5'000}; ///< ms that the platform may hold a watch
constexpr seconds AnswerLimit{10}; ///< s beyond the wait after which a question counts as failed

class PlatformQuestions
{
public:
    enum class Kind { None, Hosts, Config };
    enum class Role {
        None, ///< asks nothing
        Reader, ///< watches
        FirstReader, ///< the first rank of its data centre: watches, and reads the host list often
    };
    struct Question {
        Kind kind = Kind::None;
        std::uint64_t after = 0; ///< revision, of Config
        milliseconds wait{0}; ///< ms, of Config
    };

    PlatformQuestions(double callsPerSecond, double share, std::uint64_t seed);
    /// A node that does not know the fleet reads the host list, whatever its role.
    Question next(TimePoint now, Role role, bool fleetKnown);
    /// True when the whole store has been read.
    bool onConfigPage(TimePoint now, const ConfigPage &page);
    void onHostList(TimePoint now, std::size_t hosts);
    void onError(TimePoint now, Kind kind, milliseconds retryAfter);
    /// The fleet's size from other sources than the platform.
    void setHosts(std::size_t hosts);
    /// Time since the platform last answered; `since` before its first answer.
    Duration platformAge(TimePoint now) const;
    std::uint64_t refusals() const;

private:
    bool hostsDue(TimePoint now, Role role, bool fleetKnown) const;
    Duration hostsPeriod(Role role) const;
    void giveUpLate(TimePoint now);

    CallBudget m_budget;
    std::optional<TimePoint> m_configAsked; ///< a question that waits for its answer
    std::optional<TimePoint> m_hostsAsked; ///< a question that waits for its answer
    bool m_hostsRead = false;
    TimePoint m_hostsAt{};
    bool m_firstWatch = true; ///< the first question after a start or a fall back does not wait
    std::uint64_t m_epoch = 0;
    std::uint64_t m_cursor = 0; ///< revision
    bool m_wholeRead = false;
    TimePoint m_answeredAt{};
    std::uint64_t m_refusals = 0;
};

} // namespace Fescuenotch
