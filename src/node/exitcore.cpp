#include "node/exitcore.h"

#include "node/exitexchange.h"
#include "request/trace.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr std::size_t InitialWorkers = 32; ///< threads started before the first request
constexpr milliseconds CancelPropagationTime{50}; ///< an aborted exchange keeps its slot this long, so that the target can notice and stop its work
constexpr seconds DrainingTimeout{30}; ///< how long a target counts as draining after it last reported so

unsigned usableSlots(const TargetEntry &target)
{
    return std::max(1U, std::min(target.slots, target.connections));
}

} // namespace

ExitCore::ExitCore(const ExitHandlerDependencies &dependencies)
    : m_dependencies(dependencies)
    , m_metrics(*dependencies.metrics)
    , m_restartDetector([this](const Endpoint &address, milliseconds limit) { return m_dependencies.target->reachable(address, limit); },
                        [this] { onTargetRestarted(); })
{
}

Reason ExitCore::refusalReason(const AttemptHead &head)
{
    const auto now = Clock::now();
    if (leaving) {
        return Reason::Leaving;
    }
    if (head.targetHost != m_dependencies.settings->host) {
        return Reason::WrongHost;
    }
    if (now >= head.deadline) {
        return Reason::DeadlinePassed;
    }
    if (head.idempotent) {
        return Reason::None;
    }
    switch (m_deduplicator.admit(now, head.id, head.deadline)) {
    case AttemptDeduplicator::Verdict::Duplicate:
        return Reason::Cancelled;
    case AttemptDeduplicator::Verdict::Full:
        return Reason::QueueFull;
    case AttemptDeduplicator::Verdict::New:
        break;
    }
    return Reason::None;
}

void ExitCore::offer(std::shared_ptr<InboundAttempt> attempt)
{
    ++inFlight;
    const auto &head = attempt->head();
    const auto headRefusal = refusalReason(head);
    AdmissionResult result{AdmissionResult::Verdict::Refuse, headRefusal, milliseconds(0)};
    TicketId ticket = 0;
    if (headRefusal == Reason::None) {
        const std::lock_guard lock(m_mutex);
        result.reason = m_stopping ? Reason::Leaving : Reason::NoTarget;
        if (m_admission && !m_stopping) {
            ticket = m_nextTicket++;
            result = m_admission->offer(Clock::now(), {ticket, head.requestClass, head.deadline});
        }
        if (result.verdict == AdmissionResult::Verdict::Start) {
            enqueueReadyLocked({ticket, attempt});
        } else if (result.verdict == AdmissionResult::Verdict::Wait) {
            m_waiting.emplace(ticket, attempt);
        }
    }
    if (result.verdict == AdmissionResult::Verdict::Refuse) {
        endRefused({{attempt, result}});
    } else if (result.verdict == AdmissionResult::Verdict::Wait) {
        subscribeToCancel(ticket, attempt);
    }
}

void ExitCore::subscribeToCancel(TicketId ticket, const AttemptPtr &attempt)
{
    attempt->onCancel([weak = weak_from_this(), ticket] {
        if (const auto self = weak.lock()) {
            self->cancelWaiting(ticket);
        }
    });
    if (attempt->cancelled()) {
        cancelWaiting(ticket);
    }
}

void ExitCore::cancelWaiting(TicketId ticket)
{
    Refused refused;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_waiting.find(ticket);
        if (it == m_waiting.end()) {
            return;
        }
        refused.emplace_back(it->second, AdmissionResult{AdmissionResult::Verdict::Refuse, Reason::Cancelled, milliseconds(0)});
        m_waiting.erase(it);
        const auto others = applyLocked(m_admission->withdraw(Clock::now(), ticket));
        refused.insert(refused.end(), others.begin(), others.end());
    }
    endRefused(refused);
}

void ExitCore::configure(const TargetEntry &target)
{
    Refused refused;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Clock::now();
        const bool isNewTarget = !m_admission || m_target.address != target.address;
        m_target = target;
        if (!m_admission) {
            AdmissionSettings settings;
            settings.slots = usableSlots(target);
            m_admission = makeTracedAdmission(settings, openTrace(m_dependencies.settings->traceFile), "admission");
        }
        if (isNewTarget) {
            m_admission->onCold(now);
            m_drainingUntil = {};
        }
        refused = applyLocked(m_admission->resize(now, usableSlots(target)));
        const auto first = std::min<std::size_t>(InitialWorkers, usableSlots(target));
        while (m_workers.size() < first) {
            m_workers.emplace_back([this] { workerLoop(); });
        }
    }
    endRefused(refused);
}

void ExitCore::tick(TimePoint now)
{
    Refused refused;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_admission) {
            return;
        }
        refused = applyLocked(m_admission->onTick(now));
    }
    endRefused(refused);
}

ExitCore::Refused ExitCore::applyLocked(const AdmissionChanges &changes)
{
    Refused refused;
    const auto extractWaiting = [&](TicketId ticket) {
        auto node = m_waiting.extract(ticket);
        return node.empty() ? AttemptPtr() : std::move(node.mapped());
    };
    for (const auto ticket : changes.started) {
        enqueueReadyLocked({ticket, extractWaiting(ticket)});
    }
    for (const auto &[ticket, result] : changes.refused) {
        refused.emplace_back(extractWaiting(ticket), result);
    }
    return refused;
}

void ExitCore::enqueueReadyLocked(Job job)
{
    m_ready.push_back(std::move(job));
    if (m_idleWorkers < m_ready.size() && m_workers.size() < usableSlots(m_target)) {
        m_workers.emplace_back([this] { workerLoop(); });
    }
    m_readyChanged.notify_one();
}

void ExitCore::endRefused(const Refused &refused)
{
    for (const auto &[attempt, result] : refused) {
        AttemptEnd refusal;
        refusal.outcome = Outcome::NotRun;
        refusal.reason = result.reason;
        refusal.retryAfter = result.retryAfter;
        refusal.load = load();
        end(*attempt, refusal);
    }
}

void ExitCore::end(InboundAttempt &attempt, AttemptEnd end)
{
    m_metrics.onEnd(end.outcome, end.reason);
    attempt.end(end);
    --inFlight;
}

void ExitCore::workerLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleWorkers;
        m_readyChanged.wait(lock, [&] { return m_stopping || !m_ready.empty(); });
        --m_idleWorkers;
        if (m_ready.empty()) {
            return;
        }
        const auto job = std::move(m_ready.front());
        m_ready.pop_front();
        lock.unlock();
        runAttempt(job);
        lock.lock();
    }
}

void ExitCore::runAttempt(const Job &job)
{
    Endpoint address;
    {
        const std::lock_guard lock(m_mutex);
        address = m_target.address;
    }
    ExitExchange exchange(*job.attempt, [this] { return load(); });
    const auto started = Clock::now();
    const auto result = m_dependencies.target->exchange(exchange.request(address), exchange);
    const auto now = Clock::now();
    auto attemptEnd = exchange.makeEnd(result);
    // An exchange aborted at its deadline took at least this long. Leaving it out would make the mean service time too short.
    const bool isSample = attemptEnd.outcome == Outcome::Ran || (result.sent && attemptEnd.reason == Reason::DeadlinePassed);
    if (isSample) {
        m_metrics.onExchange(job.attempt->head().requestClass, now - started);
    }
    const bool mayStillRun = result.sent && !result.complete;
    if (mayStillRun) {
        attemptEnd.load = load();
        end(*job.attempt, attemptEnd);
        std::this_thread::sleep_for(CancelPropagationTime);
    }
    Refused refused;
    {
        const std::lock_guard lock(m_mutex);
        updateTargetStateLocked(now, result, exchange.targetDraining());
        refused = applyLocked(m_admission->finished(Clock::now(), job.ticket, isSample ? now - started : Duration(0), exchange.targetShed()));
        attemptEnd.load = loadLocked(now);
    }
    if (!mayStillRun) {
        end(*job.attempt, attemptEnd);
    }
    endRefused(refused);
}

/// The draining target has restarted: admission treats it as a cold start.
void ExitCore::onTargetRestarted()
{
    const std::lock_guard lock(m_mutex);
    m_drainingUntil = {};
    m_targetDown = false;
    m_admission->onCold(Clock::now());
}

void ExitCore::updateTargetStateLocked(TimePoint now, const TargetResult &result, bool draining)
{
    if (draining) {
        m_drainingUntil = now + DrainingTimeout;
        m_restartDetector.watch(m_target.address, m_drainingUntil);
    }
    if (result.reason == Reason::ConnectFailed) {
        m_targetDown = true;
    } else if (result.sent && m_targetDown) {
        m_targetDown = false;
        m_drainingUntil = {};
        m_admission->onCold(now);
    }
}

TargetLoad ExitCore::load() const
{
    const std::lock_guard lock(m_mutex);
    return loadLocked(Clock::now());
}

TargetLoad ExitCore::loadLocked(TimePoint now) const
{
    auto load = m_admission ? m_admission->load() : TargetLoad();
    load.leaving = leaving || now < m_drainingUntil;
    return load;
}

void ExitCore::stop()
{
    m_restartDetector.stop();
    std::vector<std::thread> workers;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        workers.swap(m_workers);
    }
    m_readyChanged.notify_all();
    for (auto &worker : workers) {
        worker.join();
    }
}

} // namespace Fescuenotch
