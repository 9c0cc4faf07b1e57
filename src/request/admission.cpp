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
/// Share of the queue limit, by RequestClass. Bulk tickets may take up at most this share; a ticket of another class is refused
/// when the whole queue has reached the share.
constexpr std::array<double, ClassCount> QueueShare{1.0, 0.85, 0.85, 0.25};
constexpr milliseconds MinRetryAfter{1'000};
/// Share of the slack that may be spent waiting; a refused request has the rest for another target. The slack is the time to the
/// deadline less the mean service time.
constexpr double MaxWaitShare = 0.5;
constexpr double NewSampleWeight = 0.1; ///< of the exponential moving average of service times

std::size_t indexOf(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

/// Entry of the queue, which is ordered by class, then deadline, then arrival.
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
        if (canStart(now, ticket.requestClass) && !isBehindWaiting(waiting)) {
            start(ticket.id, ticket.requestClass);
            return {AdmissionResult::Verdict::Start, Reason::None, milliseconds(0)};
        }
        return enqueueOrRefuse(now, waiting);
    }

    AdmissionChanges finished(TimePoint now, TicketId id, Duration service, bool targetShed) override
    {
        m_lastTime = now;
        const auto inUse = static_cast<unsigned>(m_running.size());
        const auto requestClass = removeRunning(id);
        if (requestClass && targetShed) {
            m_limit.onShed(now, inUse);
        } else if (requestClass && service > Duration(0)) {
            recordServiceTime(*requestClass, service);
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
        ++m_runningByClass[indexOf(requestClass)];
    }

    /// Removes a running ticket and returns its class; nothing when the ticket was not running.
    std::optional<RequestClass> removeRunning(TicketId id)
    {
        const auto node = m_running.extract(id);
        if (node.empty()) {
            return std::nullopt;
        }
        --m_runningByClass[indexOf(node.mapped())];
        return node.mapped();
    }

    std::size_t waitingCount(RequestClass requestClass) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return waiting.requestClass == requestClass; }));
    }

    /// Number of slots that a class may use at once.
    std::size_t slotsFor(TimePoint now, RequestClass requestClass) const
    {
        const auto limit = m_limit.limit(now);
        if (requestClass != RequestClass::Bulk) {
            return limit;
        }
        return static_cast<std::size_t>(std::max(1.0, std::floor(limit * m_settings.bulkShare)));
    }

    bool canStart(TimePoint now, RequestClass requestClass) const
    {
        return m_running.size() < m_limit.limit(now)
            && (requestClass != RequestClass::Bulk || m_runningByClass[indexOf(requestClass)] < slotsFor(now, requestClass));
    }

    /// True when a ticket in the queue precedes this one.
    bool isBehindWaiting(const WaitingTicket &ticket) const
    {
        return !m_waiting.empty() && *m_waiting.begin() < ticket;
    }

    /// Slots released per second at the mean service times of the running requests; 0 when none is known.
    double slotReleaseRate(bool bulkOnly) const
    {
        double rate = 0;
        for (std::size_t c = bulkOnly ? indexOf(RequestClass::Bulk) : 0; c < ClassCount; ++c) {
            rate += m_meanServiceSeconds[c] > 0 ? static_cast<double>(m_runningByClass[c]) / m_meanServiceSeconds[c] : 0;
        }
        return rate;
    }

    /// Expected time until a ticket at this position of the queue gets a slot. A bulk ticket waits only for other bulk tickets
    /// while the class is at its share and other slots are free.
    Duration expectedWait(TimePoint now, const WaitingTicket &ticket) const
    {
        const bool bulkOnly = ticket.requestClass == RequestClass::Bulk && m_running.size() < m_limit.limit(now);
        const auto first = bulkOnly ? m_waiting.lower_bound({RequestClass::Bulk, TimePoint::min(), 0}) : m_waiting.begin();
        const auto ahead = static_cast<double>(std::distance(first, m_waiting.lower_bound(ticket)));
        return timeToRelease(ahead + 1, slotReleaseRate(bulkOnly));
    }

    /// Expected time until all tickets that wait now, and one more, have got a slot; at least MinRetryAfter.
    milliseconds drainTime() const
    {
        const auto drain = timeToRelease(static_cast<double>(m_waiting.size() + 1), slotReleaseRate(false));
        return std::max(MinRetryAfter, std::chrono::ceil<milliseconds>(drain));
    }

    static Duration timeToRelease(double slots, double rate)
    {
        return rate > 0 ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(slots / rate)) : Duration(0);
    }

    AdmissionResult enqueueOrRefuse(TimePoint now, const WaitingTicket &ticket)
    {
        const auto classQueueLimit = std::max(1.0, std::floor(m_settings.queueLimit * QueueShare[indexOf(ticket.requestClass)]));
        const bool isBulk = ticket.requestClass == RequestClass::Bulk;
        if (isBulk && static_cast<double>(waitingCount(ticket.requestClass)) >= classQueueLimit) {
            return refusal(Reason::ClassLimit, drainTime());
        }
        if (m_waiting.size() >= m_settings.queueLimit || (!isBulk && static_cast<double>(m_waiting.size()) >= classQueueLimit)) {
            return refusal(Reason::QueueFull, drainTime());
        }
        const auto slack = ticket.deadline - now - meanServiceTime(ticket.requestClass);
        if (expectedWait(now, ticket) >= slack * MaxWaitShare) {
            return refusal(Reason::WaitTooLong, drainTime());
        }
        m_waiting.insert(ticket);
        return {AdmissionResult::Verdict::Wait, Reason::None, milliseconds(0)};
    }

    Duration meanServiceTime(RequestClass requestClass) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_meanServiceSeconds[indexOf(requestClass)]));
    }

    void recordServiceTime(RequestClass requestClass, Duration service)
    {
        auto &mean = m_meanServiceSeconds[indexOf(requestClass)];
        const double sampleSeconds = std::chrono::duration<double>(service).count();
        mean = mean == 0 ? sampleSeconds : (1 - NewSampleWeight) * mean + NewSampleWeight * sampleSeconds;
    }

    /// Walks the queue in order: refuses tickets that can no longer meet their deadline and starts those whose class has a
    /// free slot.
    AdmissionChanges startWaiting(TimePoint now)
    {
        m_lastTime = now;
        AdmissionChanges changes;
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            if (now >= it->deadline) {
                changes.refused.emplace_back(it->id, refusal(Reason::DeadlinePassed, drainTime()));
                it = m_waiting.erase(it);
            } else if (now + meanServiceTime(it->requestClass) >= it->deadline) {
                changes.refused.emplace_back(it->id, refusal(Reason::WaitTooLong, drainTime()));
                it = m_waiting.erase(it);
            } else if (canStart(now, it->requestClass)) {
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
    std::array<std::size_t, ClassCount> m_runningByClass{}; ///< by class; slots in use
    std::array<double, ClassCount> m_meanServiceSeconds{}; ///< s, by class; exponential moving average, 0 when not known
    TimePoint m_lastTime;
};

} // namespace

std::unique_ptr<Admission> makeAdmission(const AdmissionSettings &settings)
{
    return std::make_unique<SlotAdmission>(settings);
}

} // namespace Fescuenotch
