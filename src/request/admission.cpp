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
constexpr double LongestWaitShare = 0.5; ///< of the time to spare; a refused request still has the rest for another target
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

    bool operator<(const WaitingTicket &other) const
    {
        return std::tie(requestClass, deadline, id) < std::tie(other.requestClass, other.deadline, other.id);
    }
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
            start(ticket.id, ticket.requestClass);
            return {AdmissionResult::Verdict::Start, Reason::None, milliseconds(0)};
        }
        return queueOrRefuse(now, waiting);
    }

    AdmissionChanges finished(TimePoint now, TicketId id, Duration service, bool targetShed) override
    {
        m_lastTime = now;
        const auto inUse = static_cast<unsigned>(m_running.size());
        const auto requestClass = takeOut(id);
        if (requestClass && targetShed) {
            m_limit.onShed(now, inUse);
        } else if (requestClass && service > Duration(0)) {
            noteServiceTime(*requestClass, service);
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

    void start(TicketId id, RequestClass requestClass)
    {
        m_running.emplace(id, requestClass);
        ++m_runningOf[indexOf(requestClass)];
    }

    /// Takes a ticket out of the running ones and gives its class; nothing when it did not run.
    std::optional<RequestClass> takeOut(TicketId id)
    {
        const auto node = m_running.extract(id);
        if (node.empty()) {
            return std::nullopt;
        }
        --m_runningOf[indexOf(node.mapped())];
        return node.mapped();
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
        return m_running.size() < m_limit.limit(now)
            && (requestClass != RequestClass::Bulk || m_runningOf[indexOf(requestClass)] < slotsFor(now, requestClass));
    }

    /// True when a waiting ticket that could start goes before this one.
    bool isBehindOthers(const WaitingTicket &ticket) const
    {
        return !m_waiting.empty() && *m_waiting.begin() < ticket;
    }

    /// Slots that become free per second at the pace of what runs now; 0 when no pace is known.
    double freeingRate(bool bulkOnly) const
    {
        double rate = 0;
        for (std::size_t c = bulkOnly ? indexOf(RequestClass::Bulk) : 0; c < ClassCount; ++c) {
            rate += m_serviceSeconds[c] > 0 ? static_cast<double>(m_runningOf[c]) / m_serviceSeconds[c] : 0;
        }
        return rate;
    }

    /// Mean time until a ticket at this place of the queue has a slot. Bulk waits for bulk alone while it is at its share.
    Duration expectedWait(TimePoint now, const WaitingTicket &ticket) const
    {
        const bool bulkOnly = ticket.requestClass == RequestClass::Bulk && m_running.size() < m_limit.limit(now);
        const auto first = bulkOnly ? m_waiting.lower_bound({RequestClass::Bulk, TimePoint::min(), 0}) : m_waiting.begin();
        const auto ahead = static_cast<double>(std::distance(first, m_waiting.lower_bound(ticket)));
        return timeFor(ahead + 1, freeingRate(bulkOnly));
    }

    /// Time until all that waits now has had its slot.
    milliseconds drainTime() const
    {
        const auto drain = timeFor(static_cast<double>(m_waiting.size() + 1), freeingRate(false));
        return std::max(ShortestRetryAfter, std::chrono::ceil<milliseconds>(drain));
    }

    static Duration timeFor(double slots, double rate)
    {
        return rate > 0 ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slots / rate)) : Duration(0);
    }

    AdmissionResult queueOrRefuse(TimePoint now, const WaitingTicket &ticket)
    {
        const auto classQueue = std::max(1.0, std::floor(m_settings.queueLimit * QueueShare[indexOf(ticket.requestClass)]));
        const bool isBulk = ticket.requestClass == RequestClass::Bulk;
        if (isBulk && static_cast<double>(waitingOf(ticket.requestClass)) >= classQueue) {
            return refusal(Reason::ClassLimit, drainTime());
        }
        if (m_waiting.size() >= m_settings.queueLimit || (!isBulk && static_cast<double>(m_waiting.size()) >= classQueue)) {
            return refusal(Reason::QueueFull, drainTime());
        }
        const auto spare = ticket.deadline - now - averageService(ticket.requestClass);
        if (expectedWait(now, ticket) >= spare * LongestWaitShare) {
            return refusal(Reason::WaitTooLong, drainTime());
        }
        m_waiting.insert(ticket);
        return {AdmissionResult::Verdict::Wait, Reason::None, milliseconds(0)};
    }

    Duration averageService(RequestClass requestClass) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_serviceSeconds[indexOf(requestClass)]));
    }

    void noteServiceTime(RequestClass requestClass, Duration service)
    {
        auto &average = m_serviceSeconds[indexOf(requestClass)];
        const double sample = std::chrono::duration<double>(service).count();
        average = average == 0 ? sample : (1 - NewSampleWeight) * average + NewSampleWeight * sample;
    }

    /// Refuses those whose deadline passed, then starts in order those whose class has room.
    AdmissionChanges startWaiting(TimePoint now)
    {
        m_lastTime = now;
        AdmissionChanges changes;
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            if (now >= it->deadline) {
                changes.refused.emplace_back(it->id, refusal(Reason::DeadlinePassed, drainTime()));
                it = m_waiting.erase(it);
            } else if (now + averageService(it->requestClass) >= it->deadline) {
                changes.refused.emplace_back(it->id, refusal(Reason::WaitTooLong, drainTime()));
                it = m_waiting.erase(it);
            } else if (mayStart(now, it->requestClass)) {
                start(it->id, it->requestClass);
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
    std::array<std::size_t, ClassCount> m_runningOf{}; ///< slots in use, by class
    std::array<double, ClassCount> m_serviceSeconds{}; ///< s; moving average by class, 0 when not known
    TimePoint m_lastTime;
};

} // namespace

std::unique_ptr<Admission> makeAdmission(const AdmissionSettings &settings)
{
    return std::make_unique<SlotAdmission>(settings);
}

} // namespace Fescuenotch
