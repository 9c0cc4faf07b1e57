// Sections: [service times] [order] [admission] [report]
#include "mesh/slotqueue.h"

#include "kernel/durations.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr double NewSampleWeight = 0.1; ///< of a moving mean; about the last twenty samples count
constexpr double ShareMemory = 0.995; ///< of counts of offered and started requests, a request; the last few hundred count
constexpr double LeastOfferedForStarving = 10; ///< requests; fewer say nothing about shares
constexpr double FullTargetFactor = 0.85; ///< of the limit that is kept when the target turns work away
constexpr double LimitRegainedPerStart = 0.05; ///< slots; regained with each request that the target took
constexpr unsigned TurnedAwayInRow = 6; ///< a target that fails half of its requests at random turns so many away in 1 of 64 cases
constexpr double LateWaitShare = 0.25; ///< of the time that a late request can wait at most; the rest is for another target
constexpr unsigned RanksOfPriority = 2; ///< one for requests in time, one for late ones
constexpr unsigned HighestPriority = 1'000; ///< higher numbers count as this one
constexpr std::size_t MostKinds = 1'024; ///< kinds of request that are told apart

void mix(double &mean, double sample)
{
    mean = mean == 0 ? sample : (1 - NewSampleWeight) * mean + NewSampleWeight * sample;
}

} // namespace

// ---- [service times] --------------------------------------------------------------------------------------------

void ServiceTimes::note(const std::string &kind, Duration service)
{
    if (m_ofKind.size() > MostKinds) {
        m_ofKind.clear();
    }
    mix(m_ofKind[kind], secondsOf(service));
    mix(m_mean, secondsOf(service));
}

Duration ServiceTimes::of(const std::string &kind) const
{
    const auto it = m_ofKind.find(kind);
    return durationOf(it == m_ofKind.end() ? m_mean : it->second);
}

Duration ServiceTimes::mean() const
{
    return durationOf(m_mean);
}

void ServiceTimes::forget()
{
    m_ofKind.clear();
    m_mean = 0;
}

// ---- [order] ----------------------------------------------------------------------------------------------------

SlotQueue::SlotQueue(const SlotQueueSettings &settings)
    : m_settings(settings)
    , m_limit(settings.slots)
{
}

unsigned SlotQueue::rankOf(const WorkTicket &ticket, bool late) const
{
    const unsigned base = isStarved(ticket.kind) ? 0 : RanksOfPriority * (1 + std::min(ticket.priority, HighestPriority));
    return late ? base + 1 : base;
}

bool SlotQueue::isStarved(const std::string &kind) const
{
    const auto it = m_shares.find(kind);
    if (it == m_shares.end() || it->second.offered < LeastOfferedForStarving) {
        return false;
    }
    Share all;
    for (const auto &[name, share] : m_shares) {
        all.offered += share.offered;
        all.started += share.started;
    }
    return it->second.started / it->second.offered < m_settings.starvedShare * all.started / all.offered;
}

void SlotQueue::noteOffered(const std::string &kind)
{
    if (m_shares.size() > MostKinds) {
        m_shares.clear();
    }
    for (auto &[name, share] : m_shares) {
        share.offered *= ShareMemory;
        share.started *= ShareMemory;
    }
    m_shares[kind].offered += 1;
}

void SlotQueue::noteStarted(const std::string &kind)
{
    m_shares[kind].started += 1;
}

Duration SlotQueue::waitFor(std::size_t ahead) const
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

std::size_t SlotQueue::aheadOf(const Place &place) const
{
    return static_cast<std::size_t>(std::distance(m_waiting.begin(), m_waiting.lower_bound(place)));
}

bool SlotQueue::meetsGoal(TimePoint now, const WorkTicket &ticket, Duration wait) const
{
    const auto spare = ticket.goal - now - m_times.of(ticket.kind);
    return spare > Duration(0) && secondsOf(wait) <= secondsOf(spare) * m_settings.waitShareOfGoal;
}

bool SlotQueue::meetsDeadline(TimePoint now, const WorkTicket &ticket, Duration wait) const
{
    return now + wait + m_times.of(ticket.kind) < ticket.deadline;
}

// ---- [admission] ------------------------------------------------------------------------------------------------

milliseconds SlotQueue::retryAfter() const
{
    const auto drained = std::chrono::ceil<milliseconds>(waitFor(m_waiting.size()));
    return std::max(m_settings.leastRetryAfter, drained);
}

AdmissionVerdict SlotQueue::refusal(Reason reason) const
{
    return {AdmissionVerdict::Kind::Refuse, reason, retryAfter()};
}

void SlotQueue::start(const WorkTicket &ticket)
{
    m_running.emplace(ticket.id, ticket.kind);
    noteStarted(ticket.kind);
    m_limit = std::min<double>(m_settings.slots, m_limit + LimitRegainedPerStart);
}

AdmissionVerdict SlotQueue::offer(TimePoint now, const WorkTicket &ticket)
{
    noteOffered(ticket.kind);
    if (now >= ticket.deadline) {
        return refusal(Reason::DeadlinePassed);
    }
    if (!meetsDeadline(now, ticket, Duration(0))) {
        return refusal(Reason::WaitTooLong);
    }
    const bool lateAtOnce = !meetsGoal(now, ticket, Duration(0));
    Place place{rankOf(ticket, lateAtOnce), ticket.goal, ticket.id};
    if (m_running.size() < limit() && (m_waiting.empty() || place < m_waiting.begin()->first)) {
        start(ticket);
        return {AdmissionVerdict::Kind::Start, Reason::None, milliseconds(0)};
    }
    const auto wait = waitFor(aheadOf(place));
    const bool late = !meetsGoal(now, ticket, wait);
    if (!meetsDeadline(now, ticket, wait)) {
        return refusal(Reason::WaitTooLong);
    }
    if (late) {
        if (m_lateWaiting >= m_settings.mostLateWaiting || !lateAtOnce) {
            return refusal(Reason::QueueFull);
        }
        place.rank = rankOf(ticket, true);
        ++m_lateWaiting;
    }
    m_waiting.emplace(place, Waiting{ticket, late, waitsUntil(now, ticket, late)});
    m_places.emplace(ticket.id, place);
    return {AdmissionVerdict::Kind::Wait, Reason::None, milliseconds(0)};
}

QueueChanges SlotQueue::finished(TimePoint now, WorkId id, Duration service)
{
    QueueChanges changes;
    const auto node = m_running.extract(id);
    if (!node.empty() && service > Duration(0)) {
        m_turnedAwayInRow = 0;
        m_times.note(node.mapped(), service);
    }
    startWaiting(now, changes);
    return changes;
}

QueueChanges SlotQueue::withdraw(TimePoint now, WorkId id)
{
    QueueChanges changes;
    const auto it = m_places.find(id);
    if (it != m_places.end()) {
        const auto node = m_waiting.extract(it->second);
        m_lateWaiting -= node.mapped().late ? 1 : 0;
        m_places.erase(it);
    }
    startWaiting(now, changes);
    return changes;
}

QueueChanges SlotQueue::tick(TimePoint now)
{
    QueueChanges changes;
    startWaiting(now, changes);
    return changes;
}

TimePoint SlotQueue::nextTick() const
{
    auto next = TimePoint::max();
    for (const auto &[place, waiting] : m_waiting) {
        next = std::min(next, waiting.until);
    }
    return next;
}

TimePoint SlotQueue::waitsUntil(TimePoint now, const WorkTicket &ticket, bool late) const
{
    const auto service = m_times.of(ticket.kind);
    return late ? now + durationOf(secondsOf(ticket.deadline - service - now) * LateWaitShare) : ticket.goal - service;
}

void SlotQueue::refuseOverdue(TimePoint now, QueueChanges &changes)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto &ticket = it->second.ticket;
        if (now < it->second.until) {
            ++it;
            continue;
        }
        const auto reason = now >= ticket.deadline ? Reason::DeadlinePassed : Reason::WaitTooLong;
        changes.refused.emplace_back(ticket.id, refusal(reason));
        m_lateWaiting -= it->second.late ? 1 : 0;
        m_places.erase(ticket.id);
        it = m_waiting.erase(it);
    }
}

void SlotQueue::startWaiting(TimePoint now, QueueChanges &changes)
{
    refuseOverdue(now, changes);
    while (!m_waiting.empty() && m_running.size() < limit()) {
        const auto node = m_waiting.extract(m_waiting.begin());
        const auto &ticket = node.mapped().ticket;
        m_lateWaiting -= node.mapped().late ? 1 : 0;
        m_places.erase(ticket.id);
        start(ticket);
        changes.started.push_back(ticket.id);
    }
}

void SlotQueue::onTurnedAway(TimePoint)
{
    if (++m_turnedAwayInRow < TurnedAwayInRow) {
        return;
    }
    m_turnedAwayInRow = 0;
    m_limit = std::max(1.0, m_limit * FullTargetFactor);
}

QueueChanges SlotQueue::resize(TimePoint now, unsigned slots)
{
    QueueChanges changes;
    if (slots != m_settings.slots) {
        m_settings.slots = std::max(1U, slots);
        m_limit = m_settings.slots;
        startWaiting(now, changes);
    }
    return changes;
}

void SlotQueue::onNewLifetime()
{
    m_times.forget();
    m_limit = m_settings.slots;
}

// ---- [report] ---------------------------------------------------------------------------------------------------

unsigned SlotQueue::limit() const
{
    return std::max(1U, static_cast<unsigned>(std::lround(m_limit)));
}

TargetReport SlotQueue::report() const
{
    TargetReport report;
    report.running = static_cast<unsigned>(m_running.size());
    report.limit = limit();
    report.waiting = static_cast<unsigned>(m_waiting.size());
    report.meanService = std::chrono::duration_cast<microseconds>(m_times.mean());
    return report;
}

} // namespace Fescuenotch
