// Sections: [service times] [order] [admission] [report]
#include "mesh/admissionqueue.h"

#include "kernel/durations.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr double MinSampleWeight = 0.1; ///< of the newest sample in a moving average; at a steady rate about the last twenty count
constexpr double MaxOutlier = 3; ///< multiple of the mean; a longer service time counts as this much where targets are compared
constexpr Duration SampleHalfLife = milliseconds(400); ///< ms; in this time the weight of earlier samples halves
constexpr double ShareDecay = 0.995; ///< per request, of the offered and started counts; the last few hundred requests count
constexpr double MinOfferedForStarvation = 10; ///< requests; fewer are too small a sample
constexpr double LimitDecreaseFactor = 0.85; ///< applied to the limit after RejectionThreshold rejections in a row
constexpr double LimitIncreasePerStart = 0.05; ///< slots added to a reduced limit per started request
constexpr unsigned RejectionThreshold = 6; ///< a target that rejects half of its requests at random reaches this in 1 of 64 cases
constexpr double RejectionWeight = 0.05; ///< of the newest request in the share of rejected ones
constexpr double MinAcceptedShare = 0.01; ///< keeps the division finite
constexpr double LateWaitShare = 0.25; ///< of the longest wait that still meets the deadline; the rest is left for another target
constexpr double PastGoalWaitShare = 0.5; ///< of the longest wait that still meets the deadline, for a request of the highest priority
constexpr unsigned RanksPerPriority = 3;
constexpr unsigned InTimeRank = 1; ///< within its priority
constexpr unsigned LateRank = 2; ///< within its priority
constexpr unsigned HighestPriority = 0;
constexpr unsigned StarvedRank = RanksPerPriority; ///< ahead of all priorities but the highest
constexpr unsigned MaxPriorityNumber = 1'000; ///< higher numbers are treated as this one
constexpr std::size_t MaxKinds = 1'024; ///< bounds memory; beyond this the statistics start over

} // namespace

// ---- [service times] --------------------------------------------------------------------------------------------

void ServiceTimes::Mean::add(TimePoint now, double sample)
{
    samples *= std::exp2(-secondsOf(now - at) / secondsOf(SampleHalfLife));
    samples += 1;
    const double weight = std::max(MinSampleWeight, 1 / samples);
    value = value == 0 ? sample : (1 - weight) * value + weight * sample;
    at = now;
}

void ServiceTimes::add(TimePoint now, const std::string &kind, Duration service)
{
    if (m_meanByKind.size() > MaxKinds) {
        m_meanByKind.clear();
    }
    auto &ofKind = m_meanByKind[kind];
    const double highest = ofKind.value == 0 ? secondsOf(service) : MaxOutlier * ofKind.value;
    m_typical.add(now, std::min(secondsOf(service), highest));
    ofKind.add(now, secondsOf(service));
    m_mean.add(now, secondsOf(service));
}

Duration ServiceTimes::of(const std::string &kind) const
{
    const auto it = m_meanByKind.find(kind);
    return durationOf(it == m_meanByKind.end() ? m_mean.value : it->second.value);
}

TimePoint ServiceTimes::measuredAt(const std::string &kind) const
{
    const auto it = m_meanByKind.find(kind);
    return it == m_meanByKind.end() ? m_mean.at : it->second.at;
}

Duration ServiceTimes::mean() const
{
    return durationOf(m_mean.value);
}

Duration ServiceTimes::typical() const
{
    return durationOf(m_typical.value);
}

void ServiceTimes::reset()
{
    m_meanByKind.clear();
    m_mean = {};
    m_typical = {};
}

// ---- [order] ----------------------------------------------------------------------------------------------------

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings &settings)
    : m_settings(settings)
    , m_limit(settings.slots)
{
}

/// The highest priority stays first: it is that of the calls that running requests wait for.
unsigned AdmissionQueue::rankOf(const AdmissionRequest &request, bool late) const
{
    if (request.priority != HighestPriority && isStarved(request.kind)) {
        return StarvedRank;
    }
    return RanksPerPriority * std::min(request.priority, MaxPriorityNumber) + (late ? LateRank : InTimeRank);
}

bool AdmissionQueue::isStarved(const std::string &kind) const
{
    const auto it = m_shares.find(kind);
    if (it == m_shares.end() || it->second.offered < MinOfferedForStarvation) {
        return false;
    }
    Share all;
    for (const auto &[name, share] : m_shares) {
        all.offered += share.offered;
        all.started += share.started;
    }
    return it->second.started / it->second.offered < m_settings.starvationRatio * all.started / all.offered;
}

void AdmissionQueue::noteOffered(const std::string &kind)
{
    if (m_shares.size() > MaxKinds) {
        m_shares.clear();
    }
    for (auto &[name, share] : m_shares) {
        share.offered *= ShareDecay;
        share.started *= ShareDecay;
    }
    m_shares[kind].offered += 1;
}

void AdmissionQueue::noteStarted(const std::string &kind)
{
    m_shares[kind].started += 1;
}

bool AdmissionQueue::mayStart(TimePoint now) const
{
    return m_running.size() < limit() && m_rate.maySend(now);
}

bool AdmissionQueue::isServiceTimeCurrent(TimePoint now, const AdmissionRequest &request) const
{
    const bool isBeingMeasured
        = std::any_of(m_running.begin(), m_running.end(), [&](const auto &each) { return each.second.kind == request.kind && each.second.bodyComplete; });
    return isBeingMeasured || now - m_times.measuredAt(request.kind) < request.deadline - now;
}

Duration AdmissionQueue::estimatedWait(TimePoint now, std::size_t ahead) const
{
    return std::max(slotWait(ahead), m_rate.waitFor(now, ahead));
}

Duration AdmissionQueue::slotWait(std::size_t ahead) const
{
    if (m_running.size() < limit()) {
        const auto free = limit() - m_running.size();
        if (ahead < free) {
            return Duration(0);
        }
        ahead -= free;
    }
    return durationOf(static_cast<double>(ahead + 1) * secondsOf(m_times.mean()) / limit());
}

std::size_t AdmissionQueue::countAhead(const QueuePosition &position) const
{
    return static_cast<std::size_t>(std::distance(m_waiting.begin(), m_waiting.lower_bound(position)));
}

bool AdmissionQueue::meetsGoal(TimePoint now, const AdmissionRequest &request, Duration wait) const
{
    const auto slack = request.goal - now - m_times.of(request.kind);
    return slack > Duration(0) && secondsOf(wait) <= secondsOf(slack) * maxWaitShare(request);
}

/// A request goes ahead of lower priorities, so its wait is short, and refusing it would give the next free slot to one of them. If requests
/// of equal priority used all the time to their goals, many would be late, since waits are only estimated.
double AdmissionQueue::maxWaitShare(const AdmissionRequest &request) const
{
    const bool isAmongLower = !m_priorities.empty() && m_priorities.rbegin()->first > request.priority;
    return isAmongLower ? 1 : m_settings.maxWaitShareOfGoal;
}

/// Whether it has the highest priority and requests of lower priority run or wait.
bool AdmissionQueue::hasHighestPriorityAmongLower(const AdmissionRequest &request) const
{
    return request.priority == HighestPriority && !m_priorities.empty() && m_priorities.rbegin()->first > HighestPriority;
}

/// Whether a request of the highest priority may wait although it will miss its goal. Refusing it would give the next free slot
/// to a request of lower priority. Others may not: in an overload they would all wait until they are late.
bool AdmissionQueue::mayWaitPastGoal(TimePoint now, const AdmissionRequest &request, Duration wait) const
{
    return hasHighestPriorityAmongLower(request) && now + wait < latestStartPastGoal(now, request);
}

TimePoint AdmissionQueue::latestStartPastGoal(TimePoint now, const AdmissionRequest &request) const
{
    return now + durationOf(secondsOf(request.deadline - m_times.of(request.kind) - now) * PastGoalWaitShare);
}

void AdmissionQueue::forgetPriority(unsigned priority)
{
    const auto it = m_priorities.find(priority);
    if (--it->second == 0) {
        m_priorities.erase(it);
    }
}

bool AdmissionQueue::meetsDeadline(TimePoint now, const AdmissionRequest &request, Duration wait) const
{
    return now + wait + m_times.of(request.kind) < request.deadline;
}

// ---- [admission] ------------------------------------------------------------------------------------------------

milliseconds AdmissionQueue::retryAfter(TimePoint now) const
{
    const auto drainTime = std::chrono::ceil<milliseconds>(estimatedWait(now, m_waiting.size()));
    return std::max(m_settings.minRetryAfter, drainTime);
}

AdmissionVerdict AdmissionQueue::refusal(TimePoint now, Reason reason) const
{
    const bool waitsForRate = m_rate.waitFor(now, m_waiting.size()) > slotWait(m_waiting.size());
    const bool isWait = reason == Reason::QueueFull || reason == Reason::WaitTooLong;
    return {AdmissionVerdict::Kind::Refuse, isWait && waitsForRate ? m_rateReason : reason, retryAfter(now)};
}

void AdmissionQueue::start(TimePoint now, const AdmissionRequest &request)
{
    m_rate.onSent(now);
    m_running.emplace(request.id, RunningRequest{request.kind, request.priority, now, request.bodyComplete});
    ++m_priorities[request.priority];
    noteStarted(request.kind);
    m_limit = std::min<double>(m_settings.slots, m_limit + LimitIncreasePerStart);
}

AdmissionVerdict AdmissionQueue::offer(TimePoint now, const AdmissionRequest &request)
{
    noteOffered(request.kind);
    if (now >= request.deadline) {
        return refusal(now, Reason::DeadlinePassed);
    }
    if (!meetsDeadline(now, request, Duration(0)) && isServiceTimeCurrent(now, request)) {
        return refusal(now, Reason::WaitTooLong);
    }
    const bool lateOnArrival = !meetsGoal(now, request, Duration(0));
    QueuePosition position{rankOf(request, lateOnArrival), request.goal, request.id};
    if (mayStart(now) && (m_waiting.empty() || position < m_waiting.begin()->first)) {
        start(now, request);
        return {AdmissionVerdict::Kind::Start, Reason::None, milliseconds(0)};
    }
    const auto wait = estimatedWait(now, countAhead(position));
    const bool late = !meetsGoal(now, request, wait);
    if (!meetsDeadline(now, request, wait)) {
        return refusal(now, Reason::WaitTooLong);
    }
    auto expiresAt = queueDeadline(now, request, late);
    bool countsAsLate = late;
    if (late && mayWaitPastGoal(now, request, wait)) {
        countsAsLate = false;
        expiresAt = std::max(expiresAt, latestStartPastGoal(now, request));
    } else if (late) {
        if (m_lateWaiting >= m_settings.maxLateWaiting || !lateOnArrival) {
            return refusal(now, Reason::QueueFull);
        }
        position.rank = rankOf(request, true);
        ++m_lateWaiting;
    }
    m_waiting.emplace(position, Waiting{request, countsAsLate, expiresAt});
    ++m_priorities[request.priority];
    m_positions.emplace(request.id, position);
    return {AdmissionVerdict::Kind::Wait, Reason::None, milliseconds(0)};
}

QueueChanges AdmissionQueue::finished(TimePoint now, AdmissionId id, Duration service)
{
    QueueChanges changes;
    const auto node = m_running.extract(id);
    if (!node.empty() && service > Duration(0)) {
        m_consecutiveRejections = 0;
        m_rejections.add(now, false, RejectionWeight);
        m_times.add(now, node.mapped().kind, service);
    }
    if (!node.empty()) {
        forgetPriority(node.mapped().priority);
    }
    startNext(now, changes);
    return changes;
}

QueueChanges AdmissionQueue::cancel(TimePoint now, AdmissionId id)
{
    QueueChanges changes;
    const auto it = m_positions.find(id);
    if (it != m_positions.end()) {
        const auto node = m_waiting.extract(it->second);
        m_lateWaiting -= node.mapped().late ? 1 : 0;
        forgetPriority(node.mapped().request.priority);
        m_positions.erase(it);
    }
    startNext(now, changes);
    return changes;
}

QueueChanges AdmissionQueue::shortenDeadline(TimePoint now, AdmissionId id, TimePoint deadline)
{
    QueueChanges changes;
    const auto position = m_positions.find(id);
    if (position == m_positions.end()) {
        return changes;
    }
    auto &waiting = m_waiting.at(position->second);
    waiting.request.deadline = std::min(waiting.request.deadline, deadline);
    waiting.expiresAt = std::min(waiting.expiresAt, waiting.request.deadline - m_times.of(waiting.request.kind));
    refuseExpired(now, changes);
    return changes;
}

QueueChanges AdmissionQueue::refuseWaiting(Reason reason)
{
    QueueChanges changes;
    for (const auto &[position, waiting] : m_waiting) {
        changes.refused.emplace_back(waiting.request.id, AdmissionVerdict{AdmissionVerdict::Kind::Refuse, reason, milliseconds(0)});
        forgetPriority(waiting.request.priority);
    }
    m_waiting.clear();
    m_positions.clear();
    m_lateWaiting = 0;
    return changes;
}

QueueChanges AdmissionQueue::tick(TimePoint now)
{
    QueueChanges changes;
    startNext(now, changes);
    return changes;
}

TimePoint AdmissionQueue::nextTick() const
{
    auto next = TimePoint::max();
    for (const auto &[position, waiting] : m_waiting) {
        next = std::min(next, waiting.expiresAt);
    }
    if (!m_waiting.empty() && m_running.size() < limit() && m_rate.isLimited()) {
        next = std::min(next, m_rate.nextAt());
    }
    return next;
}

TimePoint AdmissionQueue::queueDeadline(TimePoint now, const AdmissionRequest &request, bool late) const
{
    const auto service = m_times.of(request.kind);
    return late ? now + durationOf(secondsOf(request.deadline - service - now) * LateWaitShare) : request.goal - service;
}

void AdmissionQueue::refuseExpired(TimePoint now, QueueChanges &changes)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto &request = it->second.request;
        if (now < it->second.expiresAt) {
            ++it;
            continue;
        }
        const auto reason = now >= request.deadline ? Reason::DeadlinePassed : Reason::WaitTooLong;
        changes.refused.emplace_back(request.id, refusal(now, reason));
        m_lateWaiting -= it->second.late ? 1 : 0;
        forgetPriority(request.priority);
        m_positions.erase(request.id);
        it = m_waiting.erase(it);
    }
}

void AdmissionQueue::startNext(TimePoint now, QueueChanges &changes)
{
    refuseExpired(now, changes);
    while (!m_waiting.empty() && mayStart(now)) {
        const auto node = m_waiting.extract(m_waiting.begin());
        const auto &request = node.mapped().request;
        m_lateWaiting -= node.mapped().late ? 1 : 0;
        forgetPriority(request.priority);
        m_positions.erase(request.id);
        start(now, request);
        changes.started.push_back(request.id);
    }
}

milliseconds AdmissionQueue::retryAfterRejection(TimePoint now) const
{
    const double accepted = std::max(MinAcceptedShare, 1 - m_rejections.at(now));
    const auto delay = std::chrono::ceil<milliseconds>(durationOf(secondsOf(retryAfter(now)) / accepted));
    return std::min(delay, m_settings.maxRetryAfterRejection);
}

void AdmissionQueue::onRejected(TimePoint now)
{
    m_rejections.add(now, true, RejectionWeight);
    if (++m_consecutiveRejections < RejectionThreshold) {
        return;
    }
    m_consecutiveRejections = 0;
    m_limit = std::max(1.0, m_limit * LimitDecreaseFactor);
}

QueueChanges AdmissionQueue::resize(TimePoint now, unsigned slots)
{
    QueueChanges changes;
    if (slots != m_settings.slots) {
        m_settings.slots = std::max(1U, slots);
        m_limit = m_settings.slots;
        startNext(now, changes);
    }
    return changes;
}

QueueChanges AdmissionQueue::setRequestRate(TimePoint now, std::optional<double> perSecond, Reason limitedBy)
{
    QueueChanges changes;
    m_rateReason = limitedBy;
    m_rate.setRate(now, perSecond);
    startNext(now, changes);
    return changes;
}

void AdmissionQueue::limitRequestRate(TimePoint now, double perSecond, Reason limitedBy)
{
    m_rateReason = limitedBy;
    m_rate.setRate(now, perSecond);
}

void AdmissionQueue::restartRequestRate(TimePoint now)
{
    m_rate.restart(now);
}

void AdmissionQueue::onSentCompletely(TimePoint now, AdmissionId id)
{
    const auto it = m_running.find(id);
    if (it != m_running.end() && !it->second.bodyComplete) {
        it->second.startedAt = now;
        it->second.bodyComplete = true;
    }
}

void AdmissionQueue::onResent(TimePoint now)
{
    m_rate.onSent(now);
}

QueueChanges AdmissionQueue::setHangLimit(TimePoint now, unsigned limit)
{
    QueueChanges changes;
    const bool grows = limit > m_hangLimit;
    m_hangLimit = limit;
    if (grows) {
        startNext(now, changes);
    }
    return changes;
}

void AdmissionQueue::onTargetRestarted()
{
    m_times.reset();
    m_limit = m_settings.slots;
}

// ---- [report] ---------------------------------------------------------------------------------------------------

unsigned AdmissionQueue::limit() const
{
    return std::max(1U, std::min(m_hangLimit, static_cast<unsigned>(std::lround(m_limit))));
}

/// Counts each request that already runs longer than the mean as a sample, so that a target that becomes slow is known before its slow
/// answers arrive.
double AdmissionQueue::reportedServiceTime(TimePoint now) const
{
    const double measured = secondsOf(m_times.typical());
    double reported = measured;
    for (const auto &[id, running] : m_running) {
        if (!running.bodyComplete) {
            continue; // it waits for its caller, not for the target
        }
        const double atLeast = std::min(secondsOf(now - running.startedAt), MaxOutlier * measured);
        reported += MinSampleWeight * std::max(0.0, atLeast - reported);
    }
    return reported;
}

TargetReport AdmissionQueue::report(TimePoint now) const
{
    TargetReport report;
    report.running = static_cast<unsigned>(m_running.size());
    report.limit = limit();
    report.waiting = static_cast<unsigned>(m_waiting.size());
    report.meanServiceTime = std::chrono::duration_cast<microseconds>(durationOf(reportedServiceTime(now)));
    report.rateDelay = std::chrono::ceil<milliseconds>(m_rate.waitFor(now, m_waiting.size()));
    return report;
}

} // namespace Fescuenotch
