#include "mesh/crashsuspects.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Fescuenotch {

namespace {

constexpr int ProbeDelayFactor = 16; ///< for each crash after the ones that led to the quarantine
constexpr unsigned MaxProbeDelaySteps = 4; ///< bounds the delay at a time longer than any record counts

/// By fingerprint, without those that are not known; of several with one fingerprint the one that ran longest.
std::vector<CrashSuspect> distinct(std::vector<CrashSuspect> suspects)
{
    const auto comesFirst
        = [](const CrashSuspect &a, const CrashSuspect &b) { return a.fingerprint != b.fingerprint ? a.fingerprint < b.fingerprint : a.ranFor > b.ranFor; };
    const auto isSame = [](const CrashSuspect &a, const CrashSuspect &b) { return a.fingerprint == b.fingerprint; };
    std::sort(suspects.begin(), suspects.end(), comesFirst);
    suspects.erase(std::unique(suspects.begin(), suspects.end(), isSame), suspects.end());
    std::erase_if(suspects, [](const CrashSuspect &each) { return each.fingerprint == 0; });
    return suspects;
}

} // namespace

bool isProbingHost(Fingerprint fingerprint, const std::string &self, const std::vector<std::string> &hosts)
{
    const auto rank = [&](const std::string &host) { return XXH64(host.data(), host.size(), fingerprint); };
    return std::all_of(hosts.begin(), hosts.end(), [&](const std::string &host) { return rank(self) <= rank(host); });
}

CrashSuspects::CrashSuspects(const CrashSuspectsSettings &settings)
    : m_settings(settings)
{
}

bool CrashSuspects::addCrash(TimePoint now, CrashRecord record)
{
    if (m_records.contains(record.id) || now - record.at > m_settings.recordLifetime) {
        return false;
    }
    record.suspects = distinct(std::move(record.suspects));
    record.suspects.resize(std::min(record.suspects.size(), m_settings.maxSuspects));
    if (record.suspects.empty()) {
        return false;
    }
    const auto id = record.id;
    m_records.emplace(id, Record{std::move(record), now});
    dropOldest();
    update();
    return m_records.contains(id);
}

bool CrashSuspects::addClearance(TimePoint now, const Clearance &clearance)
{
    if (!m_crashes.contains(clearance.fingerprint)) {
        return false; // on the way of every answer
    }
    const auto isSuspect = [&](const auto &each) {
        return contains(each.second.crash, clearance.fingerprint) && isCurrent(each.second.crash, clearance.fingerprint) && each.second.crash.at < clearance.at;
    };
    if (std::none_of(m_records.begin(), m_records.end(), isSuspect)) {
        return false;
    }
    m_cleared[clearance.fingerprint] = {clearance.at, now};
    update();
    return true;
}

unsigned CrashSuspects::crashesOf(Fingerprint fingerprint) const
{
    const auto it = m_crashes.find(fingerprint);
    return it == m_crashes.end() ? 0 : it->second;
}

bool CrashSuspects::isQuarantined(Fingerprint fingerprint) const
{
    return m_quarantined.contains(fingerprint);
}

bool CrashSuspects::isProbeDue(TimePoint now, Fingerprint fingerprint) const
{
    const auto it = m_quarantined.find(fingerprint);
    if (it == m_quarantined.end()) {
        return false;
    }
    const auto steps = std::min(it->second.crashes - m_settings.crashesToQuarantine, MaxProbeDelaySteps);
    auto delay = m_settings.firstProbeAfter;
    for (unsigned n = 0; n < steps; ++n) {
        delay *= ProbeDelayFactor;
    }
    const auto probed = m_probedAt.find(fingerprint);
    const auto last = probed == m_probedAt.end() ? it->second.lastCrashAt : std::max(it->second.lastCrashAt, probed->second);
    return now - last >= delay;
}

void CrashSuspects::onProbeSent(TimePoint now, Fingerprint fingerprint)
{
    m_probedAt[fingerprint] = now;
}

CrashNews CrashSuspects::toTell(TimePoint now, bool all) const
{
    const auto isNews = [&](TimePoint learntAt) { return all || now - learntAt < m_settings.tellFor; };
    const auto limit = all ? m_settings.maxRecords : m_settings.maxNews;
    CrashNews news;
    for (const auto &[id, record] : m_records) {
        if (news.crashes.size() < limit && isNews(record.learntAt)) {
            news.crashes.push_back(record.crash);
        }
    }
    for (const auto &[fingerprint, cleared] : m_cleared) {
        if (news.clearances.size() < limit && isNews(cleared.learntAt)) {
            news.clearances.push_back({fingerprint, cleared.at});
        }
    }
    return news;
}

void CrashSuspects::tick(TimePoint now)
{
    if (std::erase_if(m_records, [&](const auto &each) { return now - each.second.crash.at > m_settings.recordLifetime; }) > 0) {
        update();
    }
}

void CrashSuspects::dropOldest()
{
    while (m_records.size() > m_settings.maxRecords) {
        const auto isOlder = [](const auto &a, const auto &b) { return a.second.crash.at < b.second.crash.at; };
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), isOlder));
    }
}

bool CrashSuspects::contains(const CrashRecord &record, Fingerprint fingerprint)
{
    return std::any_of(record.suspects.begin(), record.suspects.end(), [&](const CrashSuspect &each) { return each.fingerprint == fingerprint; });
}

bool CrashSuspects::isCurrent(const CrashRecord &record, Fingerprint fingerprint) const
{
    const auto it = m_cleared.find(fingerprint);
    return it == m_cleared.end() || it->second.at <= record.at;
}

/// The most crashes of which each began to run after the one before.
unsigned CrashSuspects::countInSequence(const Crashes &crashes)
{
    std::vector<Evidence> byTime;
    for (const auto &[id, evidence] : crashes) {
        byTime.push_back(evidence);
    }
    std::sort(byTime.begin(), byTime.end(), [](const Evidence &a, const Evidence &b) { return a.at < b.at; });
    unsigned n = 0;
    auto last = TimePoint::min();
    for (const auto &each : byTime) {
        if (each.begunAt >= last) {
            last = each.at;
            ++n;
        }
    }
    return n;
}

void CrashSuspects::update()
{
    std::map<Fingerprint, Crashes> crashes; // that count
    std::set<Fingerprint> known;
    for (const auto &[id, record] : m_records) {
        for (const auto &suspect : record.crash.suspects) {
            known.insert(suspect.fingerprint);
            if (isCurrent(record.crash, suspect.fingerprint)) {
                crashes[suspect.fingerprint].emplace(id, Evidence{record.crash.at, record.crash.at - suspect.ranFor});
            }
        }
    }
    std::erase_if(m_cleared, [&](const auto &each) { return !known.contains(each.first); });
    std::erase_if(m_probedAt, [&](const auto &each) { return !known.contains(each.first); });
    m_crashes.clear();
    for (const auto &[fingerprint, each] : crashes) {
        m_crashes[fingerprint] = countInSequence(each);
    }
    m_quarantined.clear();
    for (;;) {
        const auto fewer = [](const auto &a, const auto &b) { return countInSequence(a.second) < countInSequence(b.second); };
        const auto worst = std::max_element(crashes.begin(), crashes.end(), fewer);
        const auto n = worst == crashes.end() ? 0 : countInSequence(worst->second);
        if (n < m_settings.unexplainedToQuarantine) {
            return;
        }
        if (crashesOf(worst->first) < m_settings.crashesToQuarantine) {
            crashes.erase(worst);
            continue;
        }
        auto &quarantine = m_quarantined[worst->first];
        quarantine.crashes = std::max(n, m_settings.crashesToQuarantine);
        const auto explained = worst->second;
        crashes.erase(worst);
        for (const auto &[id, evidence] : explained) {
            quarantine.lastCrashAt = std::max(quarantine.lastCrashAt, evidence.at);
            for (auto &[fingerprint, each] : crashes) {
                each.erase(id);
            }
        }
    }
}

} // namespace Fescuenotch
