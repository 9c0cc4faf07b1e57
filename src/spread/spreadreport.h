// How far each profile's versions have spread: per data centre, how many nodes have which version in force.
//
// How to use: `setInForce` after each swap. Every node sends `dueLines` to its parent in the tree of the first rank,
// which takes them by `onSummary`; the first rank calls `addUp` and lets `totals` ride on its beacons, and every node
// takes those by `onTotals`. `lines` is the report.
// Lines that changed go first, the others take turns, at most `MaxSummaryLines` a message, so that the bytes a second
// stay the same however many profiles there are. A line that is not renewed in time counts its nodes as silent.
#pragma once

#include "spread/spreadcontext.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds SummaryPause{200}; ///< ms between two summaries when lines changed
constexpr milliseconds LineLife{5'000}; ///< ms that a line counts without renewal, while all lines fit one message

class SpreadReport
{
public:
    explicit SpreadReport(SpreadContext &context);
    /// Version zero: the profile is not in force here any more.
    void setInForce(const std::string &profile, Version version);
    /// The subtree of a child.
    void onSummary(TimePoint now, const std::string &child, const std::vector<SummaryLine> &lines);
    /// Lines for the parent, when any are due.
    std::vector<SummaryLine> dueLines(TimePoint now);
    /// First rank only: this data centre's totals.
    void addUp(TimePoint now);
    /// Next totals for a beacon; `all` also those of other data centres, else this one's.
    std::vector<SummaryLine> totals(bool all);
    void onTotals(TimePoint now, const std::vector<SummaryLine> &lines);
    std::vector<SpreadLine> lines(TimePoint now) const;

private:
    using Place = std::pair<std::string, std::string>; ///< profile, data centre
    struct Renewed {
        SummaryLine line;
        TimePoint at;
    };
    struct Lag {
        Version newest;
        TimePoint since;
        milliseconds took{-1}; ///< ms; negative while it still spreads
    };
    /// Lines in turn, those that changed first.
    class Turns
    {
    public:
        std::vector<SummaryLine> next(const std::map<Place, SummaryLine> &lines);
        bool changed(const std::map<Place, SummaryLine> &lines) const;

    private:
        std::map<Place, SummaryLine> m_sent;
        Place m_last;
    };

    std::vector<RankedHost> currentChildren() const;
    std::map<Place, SummaryLine> subtree(TimePoint now) const;
    void addOwn(std::map<Place, SummaryLine> &into) const;
    std::map<std::string, unsigned> expected() const;
    milliseconds lag(TimePoint now, const SummaryLine &line, Version newest);
    std::map<std::string, Version> newest() const;

    SpreadContext &m_context;
    std::map<std::string, Version> m_inForce; ///< by profile
    std::map<std::string, std::map<Place, Renewed>> m_children; ///< by host
    std::map<Place, Renewed> m_totals;
    std::map<std::string, Lag> m_lags; ///< by profile
    Turns m_upTurns;
    Turns m_treeTurns;
    Turns m_foreignTurns;
    TimePoint m_lastSummary{};
};

} // namespace Fescuenotch
