// Decides when this node may act on what it holds: after a start, and after a pause.
//
// How to use: `begin` at a start or wake; tell it whom was asked and what was heard; `update` on every tick and answer.
// After a start the view is trusted once a node that trusts its own view was compared and nothing is lacking, or, while
// nobody trusts its view yet, once the platform was read and every peer asked has answered or failed to.
// After a wake any comparison will do, for everybody may have been paused; with no answer the old view holds again
// after `WakeLimit`.
// Pitfall: trust is never given while a higher mark than the one held was heard, but for the limits below.
#pragma once

#include "config/documents.h"
#include "kernel/clock.h"

#include <cstddef>
#include <set>
#include <string>

namespace Fescuenotch {

constexpr milliseconds AskPeriod{100}; ///< ms between rounds of questions while the view is not trusted
constexpr milliseconds AskPeriodLater{1'000}; ///< ms between them after `GiveUpLimit`
constexpr std::size_t AsksPerRound = 3; ///< peers of the own data centre, and as many of others
constexpr milliseconds AloneLimit{1'000}; ///< ms; when no peer answered by then, the platform alone will do
constexpr milliseconds SettleLimit{1'500}; ///< ms; marks have reached every node of a herd that started together
constexpr milliseconds GiveUpLimit{6'000}; ///< ms; the highest of what answering peers hold will do, without the platform
constexpr milliseconds WakeLimit{300}; ///< ms; nobody answered after a wake
constexpr milliseconds WakeRepairLimit{2'000}; ///< ms; peers answered after a wake, but what is lacking did not come

class ViewTrust
{
public:
    void beginStart(TimePoint now);
    void beginWake(TimePoint now);
    void onAsked(const std::string &host);
    /// A peer did not answer, or its link broke.
    void onSilent(const std::string &host);
    /// A peer's marks; `equal` when it holds the same records as this node.
    void onMarks(const std::string &host, Version highest, bool trusted, bool equal);
    /// Compared with `host`: this node lacks nothing of what it holds.
    void onNothingLacking(const std::string &host);
    /// The platform's whole store was read since the last begin.
    void onPlatformRead();
    void update(TimePoint now, Version held, std::size_t peers);

    bool trusted() const;
    /// Time to ask another round of peers.
    bool asks(TimePoint now);
    Version highestHeard() const;

private:
    bool startIsOver(Duration waited, Version held, std::size_t peers) const;
    bool wakeIsOver(Duration waited, Version held) const;
    bool everyoneAnswered(std::size_t peers) const;

    bool m_trusted = false;
    bool m_wake = false;
    bool m_platformRead = false;
    TimePoint m_since{};
    TimePoint m_lastAsk{};
    Version m_highest;
    std::set<std::string> m_asked;
    std::set<std::string> m_answered;
    std::set<std::string> m_silent;
    std::set<std::string> m_trustedPeers; ///< peers that trust their own view
    std::set<std::string> m_compared; ///< peers of which nothing is lacking here
};

} // namespace Fescuenotch
