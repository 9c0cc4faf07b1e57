#include "spread/spreadreport.h"

#include "spread/tree.h"

#include <algorithm>
#include <string_view>

namespace Fescuenotch {
namespace {

constexpr std::string_view ProfilePrefix = "profile/";
constexpr std::string_view ServicePrefix = "service/";

/// The more lines take turns, the longer one may stay without renewal.
Duration lifeOf(std::size_t lines)
{
    return LineLife * static_cast<std::int64_t>(1 + lines / MaxSummaryLines);
}

std::uint32_t nodesOf(const SummaryLine &line)
{
    std::uint32_t sum = 0;
    for (const auto &it : line.counts) {
        sum += it.nodes;
    }
    return sum;
}

void addCount(SummaryLine &line, const VersionCount &count)
{
    const auto same = std::find_if(line.counts.begin(), line.counts.end(), [&](const auto &it) { return it.version == count.version; });
    if (same != line.counts.end()) {
        same->nodes += count.nodes;
        return;
    }
    line.counts.push_back(count);
    std::sort(line.counts.begin(), line.counts.end(), [](const auto &a, const auto &b) { return a.version > b.version; });
    if (line.counts.size() > MaxVersionCounts) {
        const auto oldest = line.counts.back().nodes;
        line.counts.pop_back();
        line.counts.back().nodes += oldest;
    }
}

void addLine(SummaryLine &into, const SummaryLine &line)
{
    for (const auto &it : line.counts) {
        addCount(into, it);
    }
    into.rejecting += line.rejecting;
}

} // namespace

SpreadReport::SpreadReport(SpreadContext &context)
    : m_context(context)
{
}

void SpreadReport::setInForce(const std::string &profile, Version version)
{
    if (version == Version{}) {
        m_inForce.erase(profile);
    } else {
        m_inForce[profile] = version;
    }
}

void SpreadReport::onSummary(TimePoint now, const std::string &child, const std::vector<SummaryLine> &lines)
{
    for (const auto &it : lines) {
        if (m_context.isOwn(it.dataCentre)) {
            m_children[child][{it.profile, it.dataCentre}] = Renewed{it, now};
        }
    }
}

void SpreadReport::addOwn(std::map<Place, SummaryLine> &into) const
{
    std::set<std::string> refused;
    for (const auto &it : m_context.store.rejected()) {
        const bool isProfile = it.key.starts_with(ProfilePrefix);
        refused.insert(isProfile ? it.key.substr(ProfilePrefix.size()) : m_context.store.profileOf(it.key.substr(ServicePrefix.size())));
    }
    const auto &dataCentre = m_context.settings.dataCentre;
    for (const auto &[profile, version] : m_inForce) {
        auto &line = into.try_emplace({profile, dataCentre}, SummaryLine{profile, dataCentre, {}, 0, 0, milliseconds(0)}).first->second;
        addCount(line, {version, 1});
        line.rejecting += refused.contains(profile) ? 1 : 0;
    }
}

/// Who was a child earlier reports to another parent now, and must not be counted twice.
std::vector<RankedHost> SpreadReport::currentChildren() const
{
    const auto &ranked = m_context.ownRanked();
    if (ranked.empty()) {
        return {};
    }
    const auto &settings = m_context.settings;
    return treeChildren(ranked, settings.dataCentre, ranked.front().host, settings.self.host, settings.treeFanOut);
}

std::map<SpreadReport::Place, SummaryLine> SpreadReport::subtree(TimePoint now) const
{
    std::map<Place, SummaryLine> sum;
    addOwn(sum);
    for (const auto &child : currentChildren()) {
        const auto found = m_children.find(child.host);
        const auto lines = found == m_children.end() ? std::map<Place, Renewed>() : found->second;
        for (const auto &[place, renewed] : lines) {
            if (now - renewed.at <= lifeOf(lines.size())) {
                addLine(sum.try_emplace(place, SummaryLine{place.first, place.second, {}, 0, 0, milliseconds(0)}).first->second, renewed.line);
            }
        }
    }
    return sum;
}

std::vector<SummaryLine> SpreadReport::dueLines(TimePoint now)
{
    if (now - m_lastSummary < SummaryPause) {
        return {};
    }
    const auto sum = subtree(now);
    if (now - m_lastSummary < m_context.settings.digestPeriod && !m_upTurns.changed(sum)) {
        return {};
    }
    m_lastSummary = now;
    std::erase_if(m_children, [&](const auto &it) { return m_context.members.find(it.first) == nullptr; });
    return m_upTurns.next(sum);
}

/// Nodes of this data centre that should have the profile in force: the known members of the services that follow it.
unsigned SpreadReport::expected(const std::string &profile) const
{
    unsigned n = 0;
    for (const auto &it : m_context.members.all()) {
        const bool counts = m_context.isOwn(it.dataCentre) && it.state != MemberState::Leaving;
        n += counts && m_context.store.profileOf(it.service) == profile ? 1 : 0;
    }
    return n;
}

Version SpreadReport::newest(const std::string &profile) const
{
    Version version;
    for (const auto &[place, renewed] : m_totals) {
        if (place.first == profile && !renewed.line.counts.empty()) {
            version = std::max(version, renewed.line.counts.front().version);
        }
    }
    return version;
}

milliseconds SpreadReport::lag(TimePoint now, const SummaryLine &line)
{
    auto &lag = m_lags[line.profile];
    const Version version = std::max(newest(line.profile), line.counts.empty() ? Version{} : line.counts.front().version);
    if (version > lag.newest) {
        lag = Lag{version, now};
    }
    const auto sofar = std::chrono::duration_cast<milliseconds>(now - lag.since);
    const bool everywhere = line.counts.size() == 1 && line.counts.front().version == lag.newest && line.silent == 0;
    if (everywhere && lag.took < milliseconds(0)) {
        lag.took = sofar;
    }
    return lag.took < milliseconds(0) ? sofar : lag.took;
}

void SpreadReport::addUp(TimePoint now)
{
    if (now - m_lastSummary < SummaryPause) {
        return;
    }
    m_lastSummary = now;
    for (auto &[place, line] : subtree(now)) {
        const unsigned wanted = expected(place.first);
        const unsigned heard = nodesOf(line);
        line.silent = wanted > heard ? wanted - heard : 0;
        line.lag = lag(now, line);
        m_totals[place] = Renewed{line, now};
    }
}

std::vector<SummaryLine> SpreadReport::totals(bool all)
{
    std::map<Place, SummaryLine> lines;
    for (const auto &[place, renewed] : m_totals) {
        if (all || m_context.isOwn(place.second)) {
            lines[place] = renewed.line;
        }
    }
    return all ? m_treeTurns.next(lines) : m_foreignTurns.next(lines);
}

void SpreadReport::onTotals(TimePoint now, const std::vector<SummaryLine> &lines)
{
    for (const auto &it : lines) {
        m_totals[{it.profile, it.dataCentre}] = Renewed{it, now};
    }
}

std::vector<SpreadLine> SpreadReport::lines(TimePoint now) const
{
    std::vector<SpreadLine> report;
    for (const auto &[place, renewed] : m_totals) {
        SpreadLine line{place.first, place.second, newest(place.first), 0, 0, renewed.line.silent, renewed.line.rejecting, renewed.line.lag};
        const bool fresh = now - renewed.at <= lifeOf(m_totals.size());
        for (const auto &it : renewed.line.counts) {
            unsigned &part = !fresh ? line.silent : it.version == line.newest ? line.inForce : line.behind;
            part += it.nodes;
        }
        report.push_back(line);
    }
    return report;
}

// ---- turns

bool SpreadReport::Turns::changed(const std::map<Place, SummaryLine> &lines) const
{
    return std::any_of(lines.begin(), lines.end(), [this](const auto &it) {
        const auto sent = m_sent.find(it.first);
        return sent == m_sent.end() || sent->second.counts != it.second.counts || sent->second.rejecting != it.second.rejecting;
    });
}

std::vector<SummaryLine> SpreadReport::Turns::next(const std::map<Place, SummaryLine> &lines)
{
    std::map<Place, SummaryLine> chosen;
    for (const auto &it : lines) {
        if (chosen.size() < MaxSummaryLines && changed({it})) {
            chosen.insert(it);
        }
    }
    auto it = lines.upper_bound(m_last);
    for (std::size_t i = 0; i < lines.size() && chosen.size() < MaxSummaryLines; ++i) {
        it = it == lines.end() ? lines.begin() : it;
        m_last = it->first;
        chosen.insert(*it++);
    }
    std::vector<SummaryLine> out;
    for (const auto &[place, line] : chosen) {
        m_sent[place] = line;
        out.push_back(line);
    }
    return out;
}

} // namespace Fescuenotch
