// Sections: [requests] [judgement] [limit]
#include "mesh/hangdetector.h"

#include "kernel/durations.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr double RecentWeight = 0.1; ///< of the newest sample; follows a target that becomes slow
constexpr double SteadyWeight = 0.02; ///< of the newest sample; a few fast answers in a row must not make the others look hung
constexpr unsigned MinAnswers = 10; ///< of a kind, before their mean counts as its usual time; the first few may be much faster than the rest
constexpr std::size_t MaxKinds = 1'024; ///< bounds memory; beyond this the means start over
constexpr double SlowestDecay = 0.995; ///< per answer; the slowest of about the last hundred answers counts
constexpr double FirstSlowest = 10; ///< multiple of the mean; assumed of a target until its answers show less
constexpr double EarlyFactor = 1.2; ///< multiple of the slowest recent answer; the earliest end for the sake of the deadline
constexpr double MinEarlyFactor = 8; ///< multiple of the mean service time; the same where the recent answers were all fast
constexpr double RetryFactor = 2; ///< multiple of the mean service time; time to leave for another target
constexpr Duration RetryTime = milliseconds(50); ///< ms; the same, in addition
constexpr Duration MinOverlap
    = milliseconds(20); ///< ms; of two requests that ran at once; an answer sooner after a send may have been in transit when the request was sent
constexpr std::size_t MaxAnswered = 64; ///< answered requests that are remembered; bounds memory and time
constexpr unsigned OthersComplete = 2; ///< later requests answered; a single one may have been answered before the target stopped
constexpr double LimitDecreaseFactor = 0.7; ///< a single hang may have other causes than a full target
constexpr Duration MinGrowTime = seconds(1); ///< s; for one request
constexpr Duration MaxGrowTime = seconds(16); ///< s; for one request; each attempt to grow beyond what the target takes hangs a request
constexpr Duration CountHalfLife = seconds(7); ///< s; the window of the fleet's retry budget is 10 s

void addSample(double &mean, double sample, double weight)
{
    mean = mean == 0 ? sample : (1 - weight) * mean + weight * sample;
}

} // namespace

// ---- [requests] -------------------------------------------------------------------------------------------------

HangDetector::HangDetector(const HangDetectorSettings &settings)
    : m_settings(settings)
    , m_slowest(FirstSlowest)
    , m_growTime(MinGrowTime)
{
}

void HangDetector::setSlots(unsigned slots)
{
    m_settings.slots = std::max(1U, slots);
}

void HangDetector::onTargetRestarted()
{
    m_means.clear();
    m_answered.clear();
    m_concurrencyShownAt.clear();
    m_slowest = FirstSlowest;
    m_limit.reset();
    m_growTime = MinGrowTime;
}

void HangDetector::onSent(TimePoint now, const SentRequest &request)
{
    m_sent.erase(request.id); // sent again on another connection
    decayCounts(now);
    m_recentlySent += 1;
    Sent sent;
    sent.request = request;
    sent.sentAt = now;
    for (const auto &[id, other] : m_sent) {
        sent.ahead += other.hung ? 0 : 1;
        sent.notOverdueAhead += !other.hung && !isOverdue(now, other) ? 1 : 0;
    }
    m_sent[request.id] = std::move(sent);
    if (m_due == TimePoint::max()) {
        m_due = now + m_settings.checkPeriod;
    }
}

void HangDetector::onEnded(TimePoint now, AdmissionId id, bool answered)
{
    const auto node = m_sent.extract(id);
    if (node.empty()) {
        return;
    }
    const auto &sent = node.mapped();
    if (answered) {
        recordAnswer(now, sent);
    }
    if (answered && !sent.sawPause && !isLate(now)) {
        const double mean = meanOf(sent.request.kind);
        const double ratio = mean == 0 ? 0 : secondsOf(now - sent.sentAt) / mean;
        m_slowest = std::max(m_slowest * SlowestDecay, std::min(ratio, m_settings.maxFactor));
        addServiceTime(sent.request.kind, secondsOf(now - sent.sentAt));
    }
    growLimit(now);
    if (m_sent.empty()) {
        m_due = TimePoint::max();
    }
}

/// Counts pairs of requests that ran at once, whichever of the two is answered first.
void HangDetector::recordAnswer(TimePoint now, const Sent &answered)
{
    for (auto &[id, other] : m_sent) {
        const bool wasAhead = other.sentAt > answered.sentAt;
        other.answeredSince += wasAhead ? 0 : 1;
        other.answeredAhead += wasAhead && now - other.sentAt >= MinOverlap ? 1 : 0;
    }
    while (!m_answered.empty() && (m_answered.size() >= MaxAnswered || now - m_answered.front().answeredAt > m_settings.maxConcurrencyAge)) {
        m_answered.pop_front();
    }
    for (auto &earlier : m_answered) {
        if (earlier.sentAt > answered.sentAt) {
            recordConcurrency(earlier.answeredAt, ++earlier.answeredAhead);
        }
    }
    m_answered.push_back({answered.sentAt, now, answered.answeredAhead});
    recordConcurrency(now, answered.answeredAhead);
}

void HangDetector::recordConcurrency(TimePoint at, unsigned others)
{
    m_concurrencyShownAt.resize(std::max<std::size_t>(others + 1, m_concurrencyShownAt.size()));
    for (unsigned n = 0; n <= others; ++n) {
        m_concurrencyShownAt[n] = std::max(m_concurrencyShownAt[n], at);
    }
}

/// Overdue requests may not be running. They are left out here, and only answered requests count in what was shown.
bool HangDetector::hasShownConcurrencyOf(const Sent &sent) const
{
    return sent.notOverdueAhead < m_concurrencyShownAt.size() && m_concurrencyShownAt[sent.notOverdueAhead] + m_settings.maxConcurrencyAge >= sent.sentAt;
}

bool HangDetector::isOverdue(TimePoint now, const Sent &sent) const
{
    const double mean = meanOf(sent.request.kind);
    return mean != 0 && secondsOf(now - sent.sentAt) >= MinEarlyFactor * mean;
}

void HangDetector::onAnswerBegun(AdmissionId id)
{
    const auto it = m_sent.find(id);
    if (it != m_sent.end()) {
        it->second.answerBegun = true;
    }
}

void HangDetector::keepRunning(AdmissionId id)
{
    const auto it = m_sent.find(id);
    if (it != m_sent.end()) {
        it->second.request.mayRunTwice = false;
    }
}

bool HangDetector::isHungAtFullTarget(AdmissionId id) const
{
    const auto it = m_sent.find(id);
    return it != m_sent.end() && it->second.atFullTarget;
}

bool HangDetector::sawPause(TimePoint now, AdmissionId id) const
{
    const auto it = m_sent.find(id);
    return it != m_sent.end() && (it->second.sawPause || isLate(now));
}

// ---- [judgement] ------------------------------------------------------------------------------------------------

TimePoint HangDetector::nextCheck() const
{
    return m_due;
}

bool HangDetector::isLate(TimePoint now) const
{
    return m_due != TimePoint::max() && now > m_due + m_settings.maxLateness;
}

void HangDetector::skipPause(TimePoint now)
{
    for (auto &[id, sent] : m_sent) {
        sent.sentAt += now - m_due;
        sent.sawPause = true;
    }
}

double HangDetector::meanOf(const std::string &kind) const
{
    const auto it = m_means.find(kind);
    return it == m_means.end() || it->second.answers < MinAnswers ? 0 : std::max(it->second.recent, it->second.steady);
}

void HangDetector::addServiceTime(const std::string &kind, double service)
{
    if (m_means.size() > MaxKinds) {
        m_means.clear();
    }
    auto &mean = m_means[kind];
    mean.answers = std::min(mean.answers + 1, MinAnswers);
    addSample(mean.recent, service, RecentWeight);
    addSample(mean.steady, service, SteadyWeight);
}

std::vector<HangVerdict> HangDetector::check(TimePoint now)
{
    std::vector<HangVerdict> verdicts;
    if (m_sent.empty()) {
        m_due = TimePoint::max();
        return verdicts;
    }
    const auto lateness = now - m_due;
    if (isLate(now)) {
        skipPause(now);
    }
    m_due = now + m_settings.checkPeriod;
    // After a pause the answers that arrived meanwhile are read first; the next check judges. A busy host is always a little late.
    if (lateness >= m_settings.checkPeriod) {
        return verdicts;
    }
    decayCounts(now);
    growLimit(now);
    std::vector<Sent *> hung;
    for (auto &[id, sent] : m_sent) {
        if (!sent.hung && isHangTime(now, sent)) {
            hung.push_back(&sent);
        }
    }
    std::sort(hung.begin(), hung.end(), [](const Sent *a, const Sent *b) { return a->sentAt < b->sentAt; });
    for (auto *sent : hung) {
        verdicts.push_back(judge(now, *sent));
    }
    return verdicts;
}

Duration HangDetector::minTimeOf(const Sent &sent, double mean) const
{
    return mean != 0 ? m_settings.minTime : std::max<Duration>(m_settings.unknownTime, (sent.request.deadline - sent.sentAt) / 2);
}

bool HangDetector::isHangTime(TimePoint now, const Sent &sent) const
{
    const auto age = now - sent.sentAt;
    const double mean = meanOf(sent.request.kind);
    if (sent.answerBegun || age < minTimeOf(sent, mean)) {
        return false;
    }
    if (mean == 0) {
        return true;
    }
    const auto latest = sent.request.deadline - RetryTime - durationOf(RetryFactor * mean);
    const bool othersComplete = sent.answeredSince >= OthersComplete;
    const double usual = std::clamp(m_settings.slowestFactor * m_slowest, m_settings.minFactor, m_settings.maxFactor);
    const double factor = othersComplete ? usual : m_settings.maxFactor;
    const double early = std::max(MinEarlyFactor, EarlyFactor * m_slowest);
    return secondsOf(age) >= mean * factor || (now + m_settings.checkPeriod > latest && secondsOf(age) >= mean * early);
}

HangVerdict HangDetector::judge(TimePoint now, Sent &sent)
{
    HangVerdict verdict;
    verdict.id = sent.request.id;
    verdict.othersComplete = sent.answeredSince >= OthersComplete;
    verdict.age = now - sent.sentAt;
    verdict.usual = durationOf(meanOf(sent.request.kind));
    verdict.full = verdict.othersComplete && !hasShownConcurrencyOf(sent);
    verdict.end = sent.request.mayRunTwice && mayEnd();
    sent.hung = true;
    sent.atFullTarget = verdict.full;
    for (auto &[id, other] : m_sent) {
        other.ahead -= other.sentAt > sent.sentAt && other.ahead > 0 ? 1 : 0;
    }
    if (verdict.full) {
        lowerLimit(now, sent);
    }
    return verdict;
}

bool HangDetector::mayEnd()
{
    if (m_recentlyEnded + 1 > m_settings.endedShare * m_recentlySent + m_settings.endedSlack) {
        return false;
    }
    m_recentlyEnded += 1;
    return true;
}

void HangDetector::decayCounts(TimePoint now)
{
    const double factor = std::exp2(-secondsOf(now - m_countedAt) / secondsOf(CountHalfLife));
    m_recentlySent *= factor;
    m_recentlyEnded *= factor;
    m_countedAt = now;
}

// ---- [limit] ----------------------------------------------------------------------------------------------------

unsigned HangDetector::limit() const
{
    return m_limit ? std::max(1U, static_cast<unsigned>(*m_limit)) : m_settings.slots;
}

/// Requests that were sent before the limit last fell say nothing about the lower one.
void HangDetector::lowerLimit(TimePoint now, const Sent &sent)
{
    if (sent.sentAt < m_loweredAt) {
        return;
    }
    const double before = m_limit.value_or(m_settings.slots);
    const double held = std::max<double>(sent.ahead, before * LimitDecreaseFactor);
    m_limit = std::max(1.0, std::min(before, held));
    m_growTime = m_loweredAt == TimePoint::min() ? MinGrowTime : std::min(MaxGrowTime, 2 * m_growTime);
    m_loweredAt = now;
    m_grownAt = now;
}

void HangDetector::growLimit(TimePoint now)
{
    if (!m_limit) {
        return;
    }
    *m_limit += secondsOf(now - m_grownAt) / secondsOf(m_growTime);
    m_grownAt = now;
    if (*m_limit >= m_settings.slots) {
        m_limit.reset();
        m_growTime = MinGrowTime;
    }
}

} // namespace Fescuenotch
