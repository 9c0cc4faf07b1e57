#include "request/decisions.h"
#include "request/slotlimit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

namespace Fescuenotch {

namespace {

constexpr std::size_t ClassCount = 4;
constexpr std::array<double, ClassCount> QueueShare{1.0, 0.85, 0.85, 0.25}; ///< share of the queue that a class may fill, by RequestClass
constexpr milliseconds ShortestRetryAfter{1'000};
constexpr double NewSampleWeight = 0.1; ///< of the moving average of service times

std::size_t indexOf(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

/// Order of the queue: class first, then the earlier deadline, then the earlier arrival.
struct WaitingTicket {
    RequestClass requestClass = RequestClass::Read;
    TimePoint deadline;
    TicketId id = 0;
    auto operator<=>(const WaitingTicket &) const = default;
};

class SlotAdmission final : public Admission
{
public:
    explicit SlotAdmission(const AdmissionSettings &settings)
        : m_settings(settings)
        , m_limit(settings.slots, settings.slowStart)
    {
    }

    AdmissionResult offer(TimePoint now, const Ticket &ticket) override
    {
        m_lastTime = now;
        if (now >= ticket.deadline) {
            return refusal(Reason::DeadlinePassed, milliseconds(0));
        }
        const WaitingTicket waiting{ticket.requestClass, ticket.deadline, ticket.id};
        if (mayStart(now, ticket.requestClass) && !isBehindOthers(waiting)) {
            m_running.emplace(ticket.id, ticket.requestClass);
            return {AdmissionResult::Verdict::Start, Reason::None, milliseconds(0)};
        }
        return queueOrRefuse(now, waiting);
    }

    AdmissionChanges finished(TimePoint now, TicketId id, Duration service, bool targetShed) override
    {
        m_lastTime = now;
        const auto inUse = static_cast<unsigned>(m_running.size());
        if (m_running.erase(id) != 0 && targetShed) {
            m_limit.onShed(now, inUse);
        } else if (service > Duration(0)) {
            noteServiceTime(service);
            m_limit.onSuccess(now);
        }
        return startWaiting(now);
    }

    AdmissionChanges withdraw(TimePoint now, TicketId id) override
    {
        std::erase_if(m_waiting, [&](const WaitingTicket &waiting) { return waiting.id == id; });
        return startWaiting(now);
    }

    AdmissionChanges onTick(TimePoint now) override
    {
        return startWaiting(now);
    }

    AdmissionChanges resize(TimePoint now, unsigned slots) override
    {
        m_limit.resize(slots);
        return startWaiting(now);
    }

    void onCold(TimePoint now) override
    {
        m_limit.onCold(now);
    }

    TargetLoad load() const override
    {
        return {static_cast<unsigned>(m_running.size()), m_limit.limit(m_lastTime), static_cast<unsigned>(m_waiting.size()), false};
    }

private:
    static AdmissionResult refusal(Reason reason, milliseconds retryAfter)
    {
        return {AdmissionResult::Verdict::Refuse, reason, retryAfter};
    }

    std::size_t runningOf(RequestClass requestClass) const
    {
        return static_cast<std::size_t>(std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) { return entry.second == requestClass; }));
    }

    std::size_t waitingOf(RequestClass requestClass) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return waiting.requestClass == requestClass; }));
    }

    /// Slots that a class may use at once.
    std::size_t slotsFor(TimePoint now, RequestClass requestClass) const
    {
        const auto limit = m_limit.limit(now);
        if (requestClass != RequestClass::Bulk) {
            return limit;
        }
        return static_cast<std::size_t>(std::max(1.0, std::floor(limit * m_settings.bulkShare)));
    }

    bool mayStart(TimePoint now, RequestClass requestClass) const
    {
        return m_running.size() < m_limit.limit(now) && (requestClass != RequestClass::Bulk || runningOf(requestClass) < slotsFor(now, requestClass));
    }

    /// True when a waiting ticket that could start goes before this one.
    bool isBehindOthers(const WaitingTicket &ticket) const
    {
        return !m_waiting.empty() && *m_waiting.begin() < ticket;
    }

    /// Mean time until a ticket at this place of the queue has a slot.
    Duration expectedWait(TimePoint now, const WaitingTicket &ticket) const
    {
        const auto ahead = static_cast<double>(std::distance(m_waiting.begin(), m_waiting.lower_bound(ticket)));
        const auto slots = static_cast<double>(slotsFor(now, ticket.requestClass));
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((ahead + 1) * m_serviceSeconds / slots));
    }

    /// Time until all that waits now has had its slot.
    milliseconds drainTime(TimePoint now) const
    {
        const auto waiting = static_cast<double>(m_waiting.size() + 1);
        const double drainSeconds = waiting * m_serviceSeconds / m_limit.limit(now);
        return std::max(ShortestRetryAfter, std::chrono::ceil<milliseconds>(std::chrono::duration<double>(drainSeconds)));
    }

    AdmissionResult queueOrRefuse(TimePoint now, const WaitingTicket &ticket)
    {
        const auto classQueue = std::max(1.0, std::floor(m_settings.queueLimit * QueueShare[indexOf(ticket.requestClass)]));
        const bool isBulk = ticket.requestClass == RequestClass::Bulk;
        if (isBulk && static_cast<double>(waitingOf(ticket.requestClass)) >= classQueue) {
            return refusal(Reason::ClassLimit, drainTime(now));
        }
        if (m_waiting.size() >= m_settings.queueLimit || (!isBulk && static_cast<double>(m_waiting.size()) >= classQueue)) {
            return refusal(Reason::QueueFull, drainTime(now));
        }
        if (now + expectedWait(now, ticket) + averageService() >= ticket.deadline) {
            return refusal(Reason::WaitTooLong, drainTime(now));
        }
        m_waiting.insert(ticket);
        return {AdmissionResult::Verdict::Wait, Reason::None, milliseconds(0)};
    }

    Duration averageService() const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_serviceSeconds));
    }

    void noteServiceTime(Duration service)
    {
        const double sample = std::chrono::duration<double>(service).count();
        m_serviceSeconds = m_serviceSeconds == 0 ? sample : (1 - NewSampleWeight) * m_serviceSeconds + NewSampleWeight * sample;
    }

    /// Refuses those whose deadline passed, then starts in order those whose class has room.
    AdmissionChanges startWaiting(TimePoint now)
    {
        m_lastTime = now;
        AdmissionChanges changes;
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            if (now >= it->deadline) {
                changes.refused.emplace_back(it->id, refusal(Reason::DeadlinePassed, drainTime(now)));
                it = m_waiting.erase(it);
            } else if (mayStart(now, it->requestClass)) {
                m_running.emplace(it->id, it->requestClass);
                changes.started.push_back(it->id);
                it = m_waiting.erase(it);
            } else {
                ++it;
            }
        }
        return changes;
    }

    AdmissionSettings m_settings;
    SlotLimit m_limit;
    std::map<TicketId, RequestClass> m_running;
    std::set<WaitingTicket> m_waiting;
    double m_serviceSeconds = 0; ///< s; moving average
    TimePoint m_lastTime;
};

} // namespace

std::unique_ptr<Admission> makeAdmission(const AdmissionSettings &settings)
{
    return std::make_unique<SlotAdmission>(settings);
}

} // namespace Fescuenotch
