// Sections: [entry] [cold period] [slow answers] [probes]
#include "mesh/coldstart.h"

#include "kernel/durations.h"
#include "mesh/requestrate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr milliseconds MaxColdTime{60'000}; ///< ms; a longer stated time is treated as this, so that an error in it does not limit a target for hours
constexpr Duration MinHold = milliseconds(2'500); ///< ms; a heartbeat of a target and the lag of its entry; for services that state no cold start
constexpr double SlownessWeight = 0.08; ///< of the newest answer; a target that becomes twice as slow reaches the threshold with 11 answers
constexpr double SlowThreshold = 1.6; ///< multiple of the usual time; three standard deviations above one for exponential service times
constexpr double MaxSlownessSample = 4; ///< multiple of the usual time; single requests that take much longer say nothing about the target
constexpr double UsualWeight = 0.005; ///< of the newest answer; with 0.02 the usual time followed a slowdown before the threshold was reached
constexpr unsigned MinUsualSamples = 20; ///< answers; fewer give no usual time
constexpr std::size_t MaxKinds = 1'024; ///< bounds memory; beyond this all usual times are forgotten

} // namespace

const char *coldSourceName(ColdSource source)
{
    constexpr std::array Names{"none", "entry", "health-answer", "lost", "node-start", "check", "slow-answers"};
    return Names.at(static_cast<std::size_t>(source));
}

std::optional<milliseconds> parseColdRemaining(const std::string &text)
{
    const auto count = parseRequestRate(text);
    if (!count) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double, std::milli>(*count));
}

// ---- [entry] ----------------------------------------------------------------------------------------------------

bool ColdEntry::onEntry(TimePoint now, const TargetRecord &record)
{
    const TargetStatement statement{record.startedAtMs, record.sequence};
    if (m_learnedAt != TimePoint::min() && record.id == m_id && statement == m_statement && record.coldRemaining == m_remaining) {
        return false;
    }
    m_id = record.id;
    m_statement = statement;
    m_remaining = record.coldRemaining;
    m_until = now + std::clamp(m_remaining, milliseconds(0), MaxColdTime);
    m_learnedAt = now;
    return true;
}

// ---- [cold period] ----------------------------------------------------------------------------------------------

void ColdStart::configure(TimePoint now, const ColdStartSettings &settings)
{
    const bool wasEnabled = isEnabled();
    m_settings = settings;
    if (!isEnabled()) {
        release();
        return;
    }
    if (wasEnabled) {
        return;
    }
    if (now < m_entry.until()) {
        setColdUntil(now, m_entry.until(), ColdSource::Entry);
        return;
    }
    hold(now, ColdSource::NodeStart);
}

void ColdStart::onEntry(TimePoint now, const TargetRecord &record)
{
    if (!m_entry.onEntry(now, record) || !isEnabled()) {
        return;
    }
    const auto until = m_entry.until();
    const bool isCold = until > now;
    const bool mayPredateKnowledge = m_knownAt != TimePoint::min() && now - m_knownAt < MaxEntryLag;
    const bool answersNodeStart = isCold && m_heldSince && m_source == ColdSource::NodeStart;
    if (mayPredateKnowledge && !answersNodeStart) {
        if (isCold && until - MaxEntryLag > m_coldUntil) {
            setColdUntil(now, until, ColdSource::Entry);
        }
        return;
    }
    release();
    const bool agrees = m_coldUntil > now && m_coldUntil <= until && until - MaxEntryLag <= m_coldUntil;
    setColdUntil(now, agrees ? m_coldUntil : until, ColdSource::Entry);
}

void ColdStart::setColdUntil(TimePoint now, TimePoint until, ColdSource source)
{
    m_coldUntil = until;
    if (!m_heldSince) {
        m_source = until > now ? source : ColdSource::None;
    }
}

void ColdStart::onLost(TimePoint now)
{
    if (!isEnabled()) {
        return;
    }
    hold(now, ColdSource::Lost);
    m_lost = true;
}

void ColdStart::requestCheck(TimePoint now)
{
    if (isEnabled()) {
        hold(now, ColdSource::Check);
    }
}

void ColdStart::hold(TimePoint now, ColdSource source)
{
    m_heldSince = now;
    m_knownAt = now;
    m_source = source;
    m_probeWanted = true;
    m_probeForSlowness = false;
}

bool ColdStart::awaitsFirstAnswer(TimePoint now) const
{
    return m_settings.hasHealthPath && m_heldSince && m_source == ColdSource::NodeStart && now - *m_heldSince < MaxFirstAnswerWait;
}

void ColdStart::release()
{
    m_heldSince.reset();
    m_lost = false;
    m_probeWanted = false;
    m_slowness = 1;
}

TimePoint ColdStart::holdEnd() const
{
    return m_lost ? TimePoint::max() : *m_heldSince + std::max(m_settings.duration, MinHold);
}

std::optional<double> ColdStart::rate(TimePoint now) const
{
    const bool held = m_heldSince && now < holdEnd();
    return isEnabled() && (held || now < m_coldUntil) ? std::optional(m_settings.perSecond) : std::nullopt;
}

bool ColdStart::isColdRate(double perSecond) const
{
    constexpr double Precision = 0.001; // requests per second
    return isEnabled() && std::abs(perSecond - m_settings.perSecond) <= Precision;
}

TimePoint ColdStart::nextChange(TimePoint now) const
{
    auto next = TimePoint::max();
    if (!isEnabled()) {
        return next;
    }
    const auto consider = [&](TimePoint time) {
        if (time > now) {
            next = std::min(next, time);
        }
    };
    consider(m_coldUntil);
    if (m_heldSince) {
        consider(holdEnd());
    }
    if (m_probeWanted && !m_probePending) {
        consider(m_nextProbeAt);
    }
    return next;
}

// ---- [slow answers] ---------------------------------------------------------------------------------------------

bool ColdStart::onAnswer(TimePoint now, const std::string &kind, Duration service)
{
    if (!isEnabled()) {
        return false;
    }
    if (m_lost) {
        onReturn(now);
        return true;
    }
    if (rate(now) || service <= Duration(0)) {
        return false;
    }
    learnServiceTime(kind, service);
    if (m_probePending || (m_probeWanted && !m_probeForSlowness)) {
        return false;
    }
    m_probeForSlowness = m_slowness > SlowThreshold;
    m_probeWanted = m_probeForSlowness;
    return m_probeWanted && isProbeDue(now);
}

void ColdStart::onReturn(TimePoint now)
{
    m_lost = false;
    m_heldSince = now;
    m_probeSpacing = MinProbeSpacing;
    m_nextProbeAt = m_probeSentAt == TimePoint::min() ? now : std::min(m_nextProbeAt, m_probeSentAt + MinProbeSpacing);
}

void ColdStart::learnServiceTime(const std::string &kind, Duration service)
{
    if (m_usual.size() > MaxKinds) {
        m_usual.clear();
    }
    auto &usual = m_usual[kind];
    if (usual.samples >= MinUsualSamples && usual.seconds > 0) {
        const double sample = std::min(secondsOf(service) / usual.seconds, MaxSlownessSample);
        m_slowness += SlownessWeight * (sample - m_slowness);
    }
    ++usual.samples;
    usual.seconds += std::max(UsualWeight, 1.0 / usual.samples) * (secondsOf(service) - usual.seconds);
}

// ---- [probes] ---------------------------------------------------------------------------------------------------

bool ColdStart::isProbeDue(TimePoint now) const
{
    return isEnabled() && m_settings.hasHealthPath && m_probeWanted && !m_probePending && now >= m_nextProbeAt;
}

void ColdStart::onProbeSent(TimePoint now)
{
    m_probeWanted = false;
    m_probePending = true;
    m_probeSentAt = now;
    m_nextProbeAt = now + m_probeSpacing;
}

void ColdStart::onProbeAnswer(TimePoint now, milliseconds remaining)
{
    m_probePending = false;
    const bool foundNothing = m_probeForSlowness && remaining <= milliseconds(0);
    if (foundNothing) {
        slowDownProbes();
    } else {
        m_probeSpacing = MinProbeSpacing;
    }
    release();
    m_knownAt = now;
    setColdUntil(now, now + std::clamp(remaining, milliseconds(0), MaxColdTime), ColdSource::HealthAnswer);
}

void ColdStart::onProbeFailed(TimePoint now)
{
    m_probePending = false;
    m_probeWanted = m_heldSince && now < holdEnd();
    slowDownProbes();
}

void ColdStart::slowDownProbes()
{
    m_probeSpacing = std::min(m_probeSpacing * 2, MaxProbeSpacing);
}

} // namespace Fescuenotch
