// The parts for cold targets are in targetdispatcher_cold.cpp.
// Sections: [limits] [request] [crash check] [hang detection] [stream] [admission] [connections] [target]
#include "forward/targetdispatcher.h"

#include "kernel/logging.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Fescuenotch {

namespace {

// ---- [limits] ---------------------------------------------------------------------------------------------------

constexpr Duration MaxIdleLimit = seconds(8); ///< s; below the ten seconds after which users' targets close idle connections
constexpr Duration NonIdempotentIdleLimit = milliseconds(250); ///< ms; a request that must not run twice is not sent on a connection that was idle longer
constexpr Duration MinIdleLimit = milliseconds(20); ///< ms; bound of the adapted limit; a target that closes sooner needs a new connection for each request
constexpr Duration IdleLimitResetAfter = seconds(10); ///< s; a lowered limit is reset to MaxIdleLimit after this
constexpr Duration MinStaleIdleTime = milliseconds(20); ///< ms; a connection that broke after a shorter idle time was not closed for being idle
constexpr Duration ConnectBackoff = milliseconds(300); ///< ms; requests are refused for this long after a failed connection attempt
constexpr Duration SlotReleaseDelay = milliseconds(30); ///< ms; a slot stays occupied for this long after its connection was reset
constexpr double ResultWeight = 0.05; ///< weight of a new value in the moving averages of failures and answer sizes
constexpr std::size_t MaxTrackedRoutes = 1'024; ///< routes whose mean answer size is tracked; above this all means are discarded
constexpr std::size_t BytesPerKib = 1'024;
constexpr double Permille = 1'000;
constexpr std::size_t MaxIdleConnections = 64; ///< connections; above the number of slots that any target states

constexpr Duration CrashCheckDelay = milliseconds(20); ///< ms; the requests of a target that crashes break within this time
constexpr Duration RateLogPeriod = seconds(1); ///< s; a rate limit that changes with every answer is logged this often
constexpr unsigned InitialSlots = 4; ///< concurrent requests to a target whose entry is not known yet

AdmissionQueueSettings initialQueueSettings()
{
    AdmissionQueueSettings settings;
    settings.slots = InitialSlots;
    return settings;
}

bool isServerError(unsigned status)
{
    return status >= 500;
}

const std::vector<Reason> &refusalReasons()
{
    static const std::vector<Reason> reasons{Reason::Leaving,
                                             Reason::NoTarget,
                                             Reason::QueueFull,
                                             Reason::WaitTooLong,
                                             Reason::DeadlinePassed,
                                             Reason::ConnectFailed,
                                             Reason::TargetShed,
                                             Reason::WrongHost,
                                             Reason::Cancelled,
                                             Reason::TargetLimit,
                                             Reason::TargetCold,
                                             Reason::Evacuated,
                                             Reason::MemoryFull};
    return reasons;
}

} // namespace

// ---- [request] --------------------------------------------------------------------------------------------------

class TargetDispatcher::ActiveRequest final : public TargetConnectionEvents
{
public:
    ActiveRequest(TargetDispatcher &dispatcher, AdmissionId id, ForwardRequest request, ForwardListener &listener)
        : m_dispatcher(dispatcher)
        , m_id(id)
        , m_request(std::move(request))
        , m_listener(&listener)
        , m_enqueuedAt(dispatcher.m_loop.turnTime())
        , m_transferTime(dispatcher.answerTransferTime(m_request))
    {
        if (!m_request.bodyComplete && dispatcher.m_memory != nullptr) {
            m_bodyAccount.emplace(*dispatcher.m_memory, MemoryBudget::Holder::Body, m_enqueuedAt, [this] { dropForMemory(); });
            updateMemoryAccount();
        }
    }

    const ForwardRequest &request() const
    {
        return m_request;
    }

    /// Goal and deadline are those of the request less the time that the answer needs to reach the entry node.
    AdmissionRequest admissionRequest() const
    {
        return {m_id, m_request.route, m_request.priority, m_request.goal - m_transferTime, m_request.deadline - m_transferTime, m_request.bodyComplete};
    }

    void start()
    {
        const auto now = m_dispatcher.m_loop.turnTime();
        m_startedAt = now;
        m_dispatcher.m_waitTime.record(now - m_enqueuedAt);
        startDeadlineTimer();
        sendOn(m_dispatcher.acquireConnection(m_request));
    }

    bool isRunning() const
    {
        return m_connection != nullptr;
    }

    TimePoint startedAt() const
    {
        return m_startedAt;
    }

    bool hasAnswerBegun() const
    {
        return isRunning() && m_connection->hasAnswerBegun();
    }

    /// Ends a request that the target does not answer. It may have run.
    void endHung()
    {
        abort(Reason::TargetHung);
    }

    /// Ends the request without a result, because the entry side no longer needs the answer.
    void cancel()
    {
        m_listener = nullptr;
        m_dispatcher.m_cancelled.add();
        if (isRunning()) {
            abort(Reason::Cancelled);
            return;
        }
        m_dispatcher.removeRequest(m_id, Outcome::NotRun);
        m_dispatcher.apply(m_dispatcher.m_queue.cancel(m_dispatcher.m_loop.turnTime(), m_id));
    }

    /// Ends a request that was not sent to the target.
    void refuse(const AdmissionVerdict &verdict)
    {
        ForwardEnd end;
        end.outcome = Outcome::NotRun;
        end.reason = verdict.reason;
        end.retryAfter = verdict.retryAfter;
        notifyEnded(end);
    }

    void sendBody(std::string_view bytes, bool last)
    {
        m_bodyBytes += bytes.size();
        std::string framed = bytes.empty() ? std::string() : m_request.bodyLength ? std::string(bytes) : formatChunk(bytes);
        framed += last && !m_request.bodyLength ? LastChunk : std::string_view();
        if (isRunning()) {
            m_connection->sendBody(framed, last);
            if (last) {
                noteSent();
            }
        } else {
            m_pendingBody += framed;
            m_pendingBodyComplete = last;
        }
        updateMemoryAccount();
    }

    bool isReadyForBody() const
    {
        return isRunning() ? m_connection->pendingBytes() < StreamWindow : m_pendingBody.size() < BodyWindow;
    }

    void grantCredit(std::size_t bytes)
    {
        m_unacknowledgedBytes -= std::min(bytes, m_unacknowledgedBytes);
        if (isRunning() && m_unacknowledgedBytes < m_dispatcher.streamWindow()) {
            m_connection->resumeAnswer();
        }
    }

    void onEntryStops(TimePoint deadline)
    {
        m_request.entryStops = true;
        m_dispatcher.m_hangs.keepRunning(m_id);
        shortenDeadline(deadline);
    }

    void shortenDeadline(TimePoint deadline)
    {
        if (deadline >= m_request.deadline) {
            return;
        }
        m_request.deadline = deadline;
        if (isRunning()) {
            startDeadlineTimer();
        } else {
            const auto now = m_dispatcher.m_loop.turnTime();
            m_dispatcher.apply(m_dispatcher.m_queue.shortenDeadline(now, m_id, admissionRequest().deadline));
        }
    }

    void onTargetAnswer(ForwardAnswer answer) override
    {
        m_status = answer.status;
        m_dispatcher.readLeaving(m_request, answer.headers);
        m_dispatcher.readRequestRate(m_request, m_startedAt, answer.headers);
        const bool isRejected = findHeader(answer.headers, m_dispatcher.m_adapter.headers().notExecuted) != nullptr
            || answer.status == m_dispatcher.m_adapter.wrongTargetStatus();
        if (isRejected) {
            m_rejectedByTarget = true;
            return;
        }
        m_headForwarded = true;
        m_listener->onAnswer(std::move(answer));
    }

    void onTargetBody(std::string_view bytes) override
    {
        if (m_rejectedByTarget) {
            return;
        }
        m_unacknowledgedBytes += bytes.size();
        m_answerBytes += bytes.size();
        if (m_unacknowledgedBytes >= m_dispatcher.streamWindow()) {
            m_connection->pauseAnswer();
        }
        m_listener->onAnswerBody(bytes);
    }

    void onTargetWritable() override
    {
        if (m_listener != nullptr) {
            m_listener->onReadyForBody();
        }
    }

    void onExchangeEnded(const ExchangeResult &end) override
    {
        if (end.kind == ExchangeResult::Kind::Answered) {
            m_dispatcher.releaseConnection(std::move(m_connection));
            m_rejectedByTarget ? endRejected() : endAnswered();
        } else if (end.kind == ExchangeResult::Kind::ConnectFailed) {
            endConnectFailed();
        } else {
            endBroken(end);
        }
    }

private:
    void startDeadlineTimer()
    {
        const auto left = m_request.deadline - m_dispatcher.m_loop.turnTime();
        m_deadlineTimer.start(m_dispatcher.m_loop.timers(), left, [this](TimePoint) { abort(Reason::DeadlinePassed); });
    }

    void sendOn(std::unique_ptr<TargetConnection> connection)
    {
        m_connection = std::move(connection);
        m_dispatcher.m_sent.add();
        m_connection->send(m_request, m_dispatcher.buildRequestHead(m_request, m_dispatcher.m_loop.turnTime()), *this);
        if (!m_pendingBody.empty() || m_pendingBodyComplete) {
            m_connection->sendBody(m_pendingBody, m_pendingBodyComplete);
            std::string().swap(m_pendingBody);
        }
        if (!mayResend()) {
            std::string().swap(m_request.body);
        }
        updateMemoryAccount();
        if (m_request.bodyComplete || m_pendingBodyComplete) {
            noteSent();
        }
    }

    bool mayResend() const
    {
        return m_request.kind != RouteKind::NotIdempotent && m_request.bodyComplete && !m_resent;
    }

    void updateMemoryAccount()
    {
        if (m_bodyAccount) {
            const auto held = m_request.body.capacity() + m_pendingBody.capacity();
            m_bodyAccount->update(m_dispatcher.m_loop.turnTime(), held, m_bodyBytes, !m_sentAt && !m_pendingBodyComplete);
        }
    }

    /// For a request whose body is not complete.
    void dropForMemory()
    {
        logEvent(LogLevel::Warning, "body_dropped")
            .with("request", m_request.requestId)
            .with("holder", MemoryBudget::holderName(MemoryBudget::Holder::Body))
            .with("held_bytes", m_request.body.capacity() + m_pendingBody.capacity())
            .with("received_bytes", m_bodyBytes)
            .with("remedy", "send bodies faster, or give the host more memory");
        if (isRunning()) {
            abort(Reason::MemoryFull);
            return;
        }
        auto &dispatcher = m_dispatcher;
        const auto id = m_id;
        const auto changes = dispatcher.m_queue.cancel(dispatcher.m_loop.turnTime(), id);
        dispatcher.refuse(id, {AdmissionVerdict::Kind::Refuse, Reason::MemoryFull, milliseconds(0)});
        dispatcher.apply(changes);
    }

    /// A request with a body that was not complete from the start cannot be sent to another target. One that its entry node will not send again
    /// would only be answered with an error while the target works on it.
    void noteSent()
    {
        const auto now = m_dispatcher.m_loop.turnTime();
        m_sentAt = now;
        m_dispatcher.m_queue.onSentCompletely(now, m_id);
        const bool mayRunTwice = m_request.kind != RouteKind::NotIdempotent && m_request.bodyComplete && !m_request.entryStops && !m_request.isLastAttempt;
        m_dispatcher.onSent({m_id, m_request.route, mayRunTwice, m_request.deadline});
    }

    /// Time that the target had the whole request; zero without its end, since the time until then is the caller's.
    Duration serviceTime(TimePoint now) const
    {
        return m_sentAt ? now - *m_sentAt : Duration(0);
    }

    void endAnswered()
    {
        const auto now = m_dispatcher.m_loop.turnTime();
        m_dispatcher.recordResult(isServerError(m_status));
        m_dispatcher.recordAnswerSize(m_request.route, m_answerBytes);
        m_dispatcher.m_serviceTime.record(now - m_startedAt);
        m_dispatcher.onColdnessAnswer(m_request.route, isServerError(m_status) ? Duration(0) : serviceTime(now));
        if (m_dispatcher.m_onAnswered) {
            m_dispatcher.m_onAnswered(m_request.fingerprint);
        }
        ForwardEnd end;
        end.outcome = Outcome::Ran;
        end.complete = true;
        end.offered = true;
        const bool representative = !isServerError(m_status) && !m_dispatcher.m_hangs.sawPause(now, m_id);
        finish(end, representative ? serviceTime(now) : Duration(0));
    }

    void endRejected()
    {
        const bool wrongTarget = m_status == m_dispatcher.m_adapter.wrongTargetStatus();
        if (wrongTarget) {
            m_dispatcher.m_wrongHostTargetId = m_request.targetId;
        } else {
            m_dispatcher.m_queue.onRejected(m_dispatcher.m_loop.turnTime());
            m_dispatcher.recordResult(true);
        }
        ForwardEnd end;
        end.outcome = Outcome::NotRun;
        end.reason = wrongTarget ? Reason::WrongHost : Reason::TargetShed;
        end.offered = true;
        end.retryAfter = wrongTarget ? milliseconds(0) : m_dispatcher.m_queue.retryAfterRejection(m_dispatcher.m_loop.turnTime());
        finish(end, Duration(0));
    }

    void endConnectFailed()
    {
        m_dispatcher.m_connectBackoffUntil = m_dispatcher.m_loop.turnTime() + ConnectBackoff;
        m_dispatcher.onTargetLost();
        ForwardEnd end;
        if (m_resent) { // the target may have run what was sent on the connection before
            end.reason = Reason::TargetBroke;
            end.offered = true;
        } else {
            end.outcome = Outcome::NotRun;
            end.reason = Reason::ConnectFailed;
        }
        finish(end, Duration(0));
    }

    void endBroken(const ExchangeResult &exchange)
    {
        if (!exchange.answerStarted) {
            const auto ranFor = m_dispatcher.m_loop.turnTime() - m_startedAt;
            m_dispatcher.onBroken({m_request.fingerprint, std::chrono::duration_cast<milliseconds>(ranFor)});
        }
        const bool droppedWhileIdle = !exchange.answerStarted && exchange.idleTime >= MinStaleIdleTime;
        if (droppedWhileIdle) {
            m_dispatcher.onStaleConnection(exchange.idleTime);
        }
        const bool resend = !m_dispatcher.m_evacuated && droppedWhileIdle && mayResend();
        if (resend) {
            m_resent = true;
            m_startedAt = m_dispatcher.m_loop.turnTime();
            m_dispatcher.m_queue.onResent(m_dispatcher.m_loop.turnTime());
            auto dropped = std::move(m_connection);
            sendOn(m_dispatcher.newConnection());
            m_dispatcher.m_loop.destroyLater(std::move(dropped));
            return;
        }
        m_dispatcher.recordResult(true);
        ForwardEnd end;
        end.reason = Reason::TargetBroke;
        end.offered = true;
        logEvent(LogLevel::Warning, "target_broke")
            .with("request", m_request.requestId)
            .with("target", m_request.targetId)
            .with("route", m_request.route)
            .with("detail", exchange.detail)
            .with("fingerprint", m_request.fingerprint)
            .with("idle_ms", std::chrono::duration_cast<milliseconds>(exchange.idleTime).count())
            .with("head_passed", m_headForwarded ? 1 : 0);
        finish(end, Duration(0));
    }

    void abort(Reason reason)
    {
        const auto now = m_dispatcher.m_loop.turnTime();
        m_connection->abandon();
        if (m_sentAt && (reason == Reason::DeadlinePassed || reason == Reason::TargetHung)) {
            m_dispatcher.recordResult(true);
        }
        ForwardEnd end;
        end.reason = reason;
        end.offered = true;
        const bool representative = reason == Reason::DeadlinePassed && !m_dispatcher.m_hangs.isHungAtFullTarget(m_id);
        const auto countedTime = representative ? serviceTime(now) : Duration(0);
        m_dispatcher.m_hangs.onEnded(now, m_id, false);
        m_deadlineTimer.cancel();
        auto &dispatcher = m_dispatcher;
        const auto id = m_id;
        dispatcher.removeRequest(id, end.outcome);
        // The target takes a moment to notice that its connection was reset; its slot is occupied until then.
        dispatcher.m_loop.timers().after(SlotReleaseDelay, [&dispatcher, id, countedTime, alive = std::weak_ptr(dispatcher.m_alive)](TimePoint) {
            if (!alive.expired()) {
                dispatcher.releaseSlot(id, countedTime);
            }
        });
        notifyEnded(end);
    }

    void finish(const ForwardEnd &end, Duration serviceTime)
    {
        m_deadlineTimer.cancel();
        m_dispatcher.m_hangs.onEnded(m_dispatcher.m_loop.turnTime(), m_id, end.outcome == Outcome::Ran && !isServerError(m_status));
        m_dispatcher.removeRequest(m_id, end.outcome);
        m_dispatcher.releaseSlot(m_id, serviceTime);
        notifyEnded(end);
    }

    void notifyEnded(ForwardEnd end)
    {
        if (m_listener == nullptr) {
            return;
        }
        end.report = m_dispatcher.report();
        auto *listener = m_listener;
        m_listener = nullptr;
        listener->onEnded(end);
    }

    TargetDispatcher &m_dispatcher;
    AdmissionId m_id;
    ForwardRequest m_request;
    ForwardListener *m_listener; ///< null after the end was reported or the request was cancelled
    TimePoint m_enqueuedAt;
    Duration m_transferTime; ///< expected on arrival, see answerTransferTime
    TimePoint m_startedAt;
    std::optional<TimePoint> m_sentAt; ///< when the whole request was passed to the connection; none before that
    ScopedTimer m_deadlineTimer;
    std::unique_ptr<TargetConnection> m_connection;
    std::string m_pendingBody; ///< body received while the request was queued, with chunk framing if needed
    bool m_pendingBodyComplete = false;
    std::uint64_t m_bodyBytes = 0; ///< received after the first part
    std::optional<MemoryBudget::Account> m_bodyAccount; ///< of a body that is not complete from the start
    std::size_t m_unacknowledgedBytes = 0; ///< bytes of the answer that were forwarded and for which the entry side has not returned credit
    unsigned m_status = 0;
    std::size_t m_answerBytes = 0;
    bool m_rejectedByTarget = false; ///< the target stated that it did not run the request
    bool m_headForwarded = false;
    bool m_resent = false;
};

// ---- [crash check] ----------------------------------------------------------------------------------------------

void TargetDispatcher::setCrashEvents(std::function<void(const std::vector<CrashSuspect> &)> onCrash, std::function<void(Fingerprint)> onAnswered)
{
    m_onCrash = std::move(onCrash);
    m_onAnswered = std::move(onAnswered);
}

void TargetDispatcher::onBroken(const CrashSuspect &request)
{
    m_broken.push_back(request);
    if (m_broken.size() == 1) {
        m_brokenAt = m_loop.turnTime();
        m_crashCheckTimer.start(m_loop.timers(), CrashCheckDelay, [this](TimePoint) { beginCrashCheck(); });
    }
}

/// If another connection is still open, the target has only broken single answers.
void TargetDispatcher::beginCrashCheck()
{
    if (hasConnectionFromBefore(m_brokenAt)) {
        m_broken.clear();
        return;
    }
    if (!m_broken.empty()) {
        onTargetLost();
    }
    m_connections.add();
    m_crashCheck = std::make_unique<ConnectCheck>(m_loop, m_settings.targetAddress, [this](bool reachable) { endCrashCheck(reachable); });
}

bool TargetDispatcher::hasConnectionFromBefore(TimePoint time) const
{
    const auto isIdleSinceBefore = [&](const auto &connection) { return connection->idleSince() < time; };
    const auto hasRunSinceBefore = [&](const auto &each) { return each.second->isRunning() && each.second->startedAt() < time; };
    return std::any_of(m_idleConnections.begin(), m_idleConnections.end(), isIdleSinceBefore)
        || std::any_of(m_requests.begin(), m_requests.end(), hasRunSinceBefore);
}

void TargetDispatcher::endCrashCheck(bool reachable)
{
    m_loop.destroyLater(std::move(m_crashCheck));
    const auto requests = std::exchange(m_broken, {});
    if (reachable) {
        return; // single broken answers
    }
    onTargetLost();
    if (requests.empty()) {
        return; // it ended while nothing ran there
    }
    m_crashes.add();
    std::string suspects;
    for (const auto &each : requests) {
        suspects += (suspects.empty() ? "" : ",") + std::to_string(each.fingerprint);
    }
    logEvent(LogLevel::Warning, "target_crashed").with("target", m_targetId).with("requests", requests.size()).with("fingerprints", suspects);
    if (m_onCrash) {
        m_onCrash(requests);
    }
}

// ---- [hang detection] -------------------------------------------------------------------------------------------

void TargetDispatcher::onSent(const SentRequest &request)
{
    m_hangs.onSent(m_loop.turnTime(), request);
    if (!m_hangTimer.isActive()) {
        scheduleHangCheck();
    }
}

void TargetDispatcher::scheduleHangCheck()
{
    const auto next = m_hangs.nextCheck();
    if (next == TimePoint::max()) {
        m_hangTimer.cancel();
        return;
    }
    m_hangTimer.start(m_loop.timers(), next - m_loop.turnTime(), [this](TimePoint) { checkHangs(m_loop.turnTime()); });
}

void TargetDispatcher::checkHangs(TimePoint now)
{
    for (const auto &[id, active] : m_requests) {
        if (active->hasAnswerBegun()) {
            m_hangs.onAnswerBegun(id);
        }
    }
    for (const auto &verdict : m_hangs.check(now)) {
        onHung(verdict);
    }
    applyHangLimit();
    scheduleHangCheck();
}

void TargetDispatcher::onHung(const HangVerdict &verdict)
{
    const auto it = m_requests.find(verdict.id);
    if (it == m_requests.end()) {
        return;
    }
    (verdict.end ? m_hungEnded : m_hungKept).add();
    logEvent(LogLevel::Warning, "target_hung")
        .with("request", it->second->request().requestId)
        .with("target", m_targetId)
        .with("route", it->second->request().route)
        .with("sent_ms_ago", std::chrono::duration_cast<milliseconds>(verdict.age).count())
        .with("usual_ms", std::chrono::duration_cast<milliseconds>(verdict.usual).count())
        .with("others_complete", verdict.othersComplete ? 1 : 0)
        .with("full", verdict.full ? 1 : 0)
        .with("ended", verdict.end ? 1 : 0)
        .with("running", m_queue.running())
        .with("limit", m_hangs.limit());
    if (verdict.end) {
        it->second->endHung();
    }
}

void TargetDispatcher::applyHangLimit()
{
    m_loop.defer([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            apply(m_queue.setHangLimit(m_loop.turnTime(), m_hangs.limit()));
        }
    });
}

// ---- [stream] ---------------------------------------------------------------------------------------------------

class TargetDispatcher::Stream final : public ForwardStream
{
public:
    Stream(TargetDispatcher &dispatcher, AdmissionId id)
        : m_dispatcher(dispatcher)
        , m_alive(dispatcher.m_alive)
        , m_id(id)
    {
    }

    ~Stream() override
    {
        if (auto *active = find()) {
            active->cancel();
        }
    }

    void sendBody(std::string_view bytes, bool last) override
    {
        if (auto *active = find()) {
            active->sendBody(bytes, last);
        }
    }

    bool isReadyForBody() const override
    {
        const auto *active = find();
        return active == nullptr || active->isReadyForBody();
    }

    std::size_t unsentBodyBytes() const override
    {
        return 0; // the request has its own account
    }

    void grantCredit(std::size_t bytes) override
    {
        if (auto *active = find()) {
            active->grantCredit(bytes);
        }
    }

    void onEntryStops(TimePoint deadline) override
    {
        if (m_alive.expired()) {
            return;
        }
        // Deferred, since it may end the request.
        m_dispatcher.m_loop.defer([&dispatcher = m_dispatcher, alive = m_alive, id = m_id, deadline] {
            if (alive.expired()) {
                return;
            }
            const auto it = dispatcher.m_requests.find(id);
            if (it != dispatcher.m_requests.end()) {
                it->second->onEntryStops(deadline);
            }
        });
    }

private:
    ActiveRequest *find() const
    {
        if (m_alive.expired()) {
            return nullptr;
        }
        const auto it = m_dispatcher.m_requests.find(m_id);
        return it == m_dispatcher.m_requests.end() ? nullptr : it->second.get();
    }

    TargetDispatcher &m_dispatcher;
    std::weak_ptr<bool> m_alive;
    AdmissionId m_id;
};

// ---- [admission] ------------------------------------------------------------------------------------------------

TargetDispatcher::TargetDispatcher(EventLoop &loop, const DeploymentSettings &settings, const PlatformAdapter &adapter, MetricsRegistry &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_adapter(adapter)
    , m_queue(initialQueueSettings())
    , m_idleLimit(MaxIdleLimit)
    , m_connections(metrics.counter("fescuenotch_target_connections_total", "Connections opened to the target."))
    , m_staleConnections(metrics.counter("fescuenotch_target_stale_connections_total", "Connections that the target had dropped while they rested."))
    , m_cancelled(metrics.counter("fescuenotch_gate_cancelled_total", "Requests given up by their entry node while they waited or ran."))
    , m_sent(metrics.counter("fescuenotch_target_sent_total", "Requests sent to the target, also those sent again on a new connection."))
    , m_unreadableRates(metrics.counter("fescuenotch_target_unreadable_limits_total", "Answers of the target whose limit is not a number; the last one stays."))
    , m_crashes(metrics.counter("fescuenotch_target_crashes_total", "Times that the target ended while requests ran there."))
    , m_coldDelayed(metrics.counter("fescuenotch_target_cold_delayed_total", "Requests that waited while the target was cold."))
    , m_healthProbes(metrics.counter("fescuenotch_target_health_probes_total", "Health probes sent to the target, to learn whether it is cold."))
    , m_hungEnded(metrics.counter("fescuenotch_target_hung_total", "Requests that the target did not answer well beyond their usual time.", {{"ended", "1"}}))
    , m_hungKept(metrics.counter("fescuenotch_target_hung_total", "Requests that the target did not answer well beyond their usual time.", {{"ended", "0"}}))
    , m_serviceTime(metrics.histogram("fescuenotch_gate_service_seconds", "From the start of a request at the target to its whole answer."))
    , m_waitTime(metrics.histogram("fescuenotch_gate_wait_seconds", "Wait of started requests for a slot."))
{
    for (const auto reason : refusalReasons()) {
        m_refusals[static_cast<int>(reason)]
            = &metrics.counter("fescuenotch_gate_refusals_total", "Requests that the exit node ended as not run.", {{"reason", reasonName(reason)}});
    }
    for (const auto outcome : {Outcome::Ran, Outcome::NotRun, Outcome::Unknown}) {
        m_outcomes[static_cast<int>(outcome)]
            = &metrics.counter("fescuenotch_gate_requests_total", "Requests that the exit node ended.", {{"outcome", outcomeName(outcome)}});
    }
    metrics.gauge("fescuenotch_gate_running", "Requests that run at the target.", {}, [this] { return static_cast<double>(m_queue.running()); });
    metrics.gauge("fescuenotch_gate_waiting", "Requests that wait for a slot.", {}, [this] { return static_cast<double>(m_queue.waiting()); });
    metrics.gauge("fescuenotch_target_limit_per_second", "Requests a second that the target names as its limit; -1: none.", {}, [this] {
        return m_statedRate.perSecond().value_or(-1);
    });
    metrics.gauge("fescuenotch_target_cold_per_second", "Requests a second that the target takes while it is cold; -1: it is not cold.", {}, [this] {
        return coldRate().value_or(-1);
    });
    metrics.gauge("fescuenotch_target_hang_limit", "Requests that the target may get at once; below its slots after it hung when full.", {}, [this] {
        return static_cast<double>(m_hangs.limit());
    });
    m_hangs.setSlots(InitialSlots);
    metrics.gauge("fescuenotch_gate_slots", "Slots of the target that may be used.", {}, [this] { return static_cast<double>(m_queue.limit()); });
}

TargetDispatcher::~TargetDispatcher()
{
    m_alive.reset();
}

Reason TargetDispatcher::refusalReason(const ForwardRequest &request) const
{
    const auto now = m_loop.turnTime();
    if (m_leaving || m_targetDraining || m_targetLeaving) {
        return Reason::Leaving;
    }
    if (m_evacuated) {
        return Reason::Evacuated;
    }
    if (now >= request.deadline) {
        return Reason::DeadlinePassed;
    }
    if (now < m_connectBackoffUntil) {
        return Reason::ConnectFailed;
    }
    if (!m_wrongHostTargetId.empty() && request.targetId == m_wrongHostTargetId) {
        return Reason::WrongHost;
    }
    if (!fitsInMemory(request)) {
        return Reason::MemoryFull;
    }
    return request.targetId.empty() ? Reason::NoTarget : Reason::None;
}

/// The entry node decides for its own callers.
bool TargetDispatcher::fitsInMemory(const ForwardRequest &request) const
{
    if (m_memory == nullptr || !request.fromPeer) {
        return true;
    }
    const auto it = m_meanAnswerBytes.find(request.route);
    return m_memory->admits(m_loop.turnTime(), it == m_meanAnswerBytes.end() ? 0 : static_cast<std::size_t>(it->second));
}

std::size_t TargetDispatcher::streamWindow() const
{
    return m_memory == nullptr ? StreamWindow : m_memory->streamWindow(StreamWindow);
}

std::unique_ptr<ForwardStream> TargetDispatcher::open(ForwardRequest request, ForwardListener &listener)
{
    const bool isColdRate = request.targetRequestRate && m_cold.isColdRate(*request.targetRequestRate); // this node finds out itself whether it is in force
    if (request.targetRequestRate && request.targetId == m_targetId && !isColdRate) {
        m_statedRate.onTold(m_loop.turnTime(), *request.targetRequestRate);
        apply(m_queue.setRequestRate(m_loop.turnTime(), rateInForce(), rateReason()));
    }
    const auto id = m_nextId++;
    const auto reason = refusalReason(request);
    auto owned = std::make_unique<ActiveRequest>(*this, id, std::move(request), listener);
    AdmissionVerdict verdict{AdmissionVerdict::Kind::Refuse, reason, milliseconds(0)};
    if (reason == Reason::None) {
        verdict = m_queue.offer(m_loop.turnTime(), owned->admissionRequest());
    }
    auto &active = *m_requests.emplace(id, std::move(owned)).first->second;
    if (verdict.kind == AdmissionVerdict::Kind::Start) {
        active.start();
    } else if (verdict.kind == AdmissionVerdict::Kind::Wait) {
        m_coldDelayed.add(rateReason() == Reason::TargetCold ? 1 : 0);
        scheduleTick();
    } else {
        m_loop.defer([this, id, verdict, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired()) {
                refuse(id, verdict);
            }
        });
    }
    return std::make_unique<Stream>(*this, id);
}

void TargetDispatcher::apply(const QueueChanges &changes)
{
    for (const auto id : changes.started) {
        startRequest(id);
    }
    for (const auto &[id, verdict] : changes.refused) {
        refuse(id, verdict);
    }
    scheduleTick();
}

void TargetDispatcher::startRequest(AdmissionId id)
{
    const auto it = m_requests.find(id);
    if (it != m_requests.end()) {
        it->second->start();
    }
}

void TargetDispatcher::refuse(AdmissionId id, const AdmissionVerdict &verdict)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    const auto active = std::move(it->second);
    m_requests.erase(it);
    const auto counter = m_refusals.find(static_cast<int>(verdict.reason));
    if (counter != m_refusals.end()) {
        counter->second->add();
    }
    m_outcomes[static_cast<int>(Outcome::NotRun)]->add();
    ++m_refusedSinceLog;
    active->refuse(verdict);
}

void TargetDispatcher::releaseSlot(AdmissionId id, Duration serviceTime)
{
    apply(m_queue.finished(m_loop.turnTime(), id, serviceTime));
}

/// Removes a request. The object is destroyed at the end of the turn, since the caller is one of its functions.
void TargetDispatcher::removeRequest(AdmissionId id, Outcome outcome)
{
    m_outcomes[static_cast<int>(outcome)]->add();
    auto node = m_requests.extract(id);
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

void TargetDispatcher::recordAnswerSize(const std::string &route, std::size_t bytes)
{
    if (m_meanAnswerBytes.size() > MaxTrackedRoutes) {
        m_meanAnswerBytes.clear();
    }
    auto &mean = m_meanAnswerBytes[route];
    mean = mean == 0 ? static_cast<double>(bytes) : (1 - ResultWeight) * mean + ResultWeight * static_cast<double>(bytes);
}

Duration TargetDispatcher::uplinkDelay() const
{
    if (m_uplink == nullptr) {
        return Duration(0);
    }
    double bytes = static_cast<double>(m_uplinkBacklog());
    for (const auto &[id, active] : m_requests) {
        const auto it = m_meanAnswerBytes.find(active->request().route);
        if (active->request().fromPeer && it != m_meanAnswerBytes.end() && it->second > MaxSmallResponseBytes) {
            bytes += it->second;
        }
    }
    return m_uplink->timeFor(static_cast<std::size_t>(bytes));
}

Duration TargetDispatcher::answerTransferTime(const ForwardRequest &request) const
{
    const auto it = m_meanAnswerBytes.find(request.route);
    const bool large = it != m_meanAnswerBytes.end() && it->second > MaxSmallResponseBytes;
    if (!large || !request.fromPeer || m_uplink == nullptr) {
        return Duration(0);
    }
    // The link sends what is queued while the target works.
    const auto wait = std::max(Duration(0), Duration(uplinkDelay() - m_queue.report(m_loop.turnTime()).meanServiceTime));
    return wait + m_uplink->timeFor(static_cast<std::size_t>(it->second));
}

void TargetDispatcher::setUplink(const UplinkPacer &pacer, std::function<std::size_t()> backlog)
{
    m_uplink = &pacer;
    m_uplinkBacklog = std::move(backlog);
}

void TargetDispatcher::recordResult(bool failed)
{
    m_failures.add(m_loop.turnTime(), failed, ResultWeight);
}

void TargetDispatcher::readLeaving(const ForwardRequest &request, const Headers &headers)
{
    if (m_targetLeaving || request.targetId != m_targetId || !saysLeaving(headers, m_adapter.headers())) {
        return;
    }
    m_targetLeaving = true;
    logEvent(LogLevel::Info, "target_leaving")
        .with("request", request.requestId)
        .with("target", m_targetId)
        .with("running", m_queue.running())
        .with("waiting", m_queue.waiting());
}

void TargetDispatcher::readRequestRate(const ForwardRequest &request, TimePoint sentAt, const Headers &headers)
{
    const auto &name = m_adapter.headers().requestRate;
    const auto *text = findHeader(headers, name);
    const auto lines = std::count_if(headers.begin(), headers.end(), [&](const Header &header) { return sameHeaderName(header.name, name); });
    const auto stated = lines == 1 ? parseRequestRate(*text) : std::nullopt;
    if (lines > 0 && !stated) {
        onUnreadableRate(request, static_cast<std::size_t>(lines), text->size());
        return;
    }
    const auto before = m_statedRate.perSecond();
    m_statedRate.onAnswer(m_loop.turnTime(), sentAt, stated);
    logRequestRate(request, before);
    applyRequestRate();
}

void TargetDispatcher::onUnreadableRate(const ForwardRequest &request, std::size_t headerLines, std::size_t characters)
{
    m_unreadableRates.add();
    if (m_unreadableRateLogged) {
        return;
    }
    m_unreadableRateLogged = true;
    logEvent(LogLevel::Warning, "target_limit_unreadable")
        .with("request", request.requestId)
        .with("target", m_targetId)
        .with("header_lines", headerLines)
        .with("characters", characters)
        .with("in_force", requestRateText(m_statedRate.perSecond()))
        .with("remedy", "the target must name one decimal number; the last one stays");
}

/// Deferred, since it may start requests and this may be called while one ends.
void TargetDispatcher::applyRequestRate()
{
    m_loop.defer([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            apply(m_queue.setRequestRate(m_loop.turnTime(), rateInForce(), rateReason()));
        }
    });
}

void TargetDispatcher::logRequestRate(const ForwardRequest &request, std::optional<double> before)
{
    const auto now = m_loop.turnTime();
    const auto rate = m_statedRate.perSecond();
    const bool beginsOrEnds = before.has_value() != rate.has_value();
    if (rate == before || (!beginsOrEnds && now - m_rateLoggedAt < RateLogPeriod)) {
        return;
    }
    m_rateLoggedAt = now;
    logEvent(LogLevel::Info, "target_limit")
        .with("request", request.requestId)
        .with("target", m_targetId)
        .with("before_per_second", requestRateText(before))
        .with("per_second", requestRateText(rate))
        .with("running", m_queue.running())
        .with("waiting", m_queue.waiting());
}

void TargetDispatcher::scheduleTick()
{
    const auto next = m_queue.nextTick();
    if (next == TimePoint::max()) {
        m_tickTimer.cancel();
        return;
    }
    m_tickTimer.start(m_loop.timers(), next - m_loop.turnTime() + milliseconds(1), [this](TimePoint now) { apply(m_queue.tick(now)); });
}

// ---- [connections] ----------------------------------------------------------------------------------------------

std::unique_ptr<TargetConnection> TargetDispatcher::acquireConnection(const ForwardRequest &request)
{
    const auto now = m_loop.turnTime();
    if (now - m_idleLimitLearntAt > IdleLimitResetAfter) {
        m_idleLimit = MaxIdleLimit;
    }
    while (!m_idleConnections.empty()) {
        const auto idleTime = now - m_idleConnections.front()->idleSince();
        const auto limit = std::min(m_idleLimit, m_idleConnections.front()->advertisedIdleTimeout() - seconds(1));
        if (idleTime > limit || !m_idleConnections.front()->isReusable()) {
            m_idleConnections.clear(); // the others have been idle longer
            break;
        }
        if (request.kind == RouteKind::NotIdempotent && idleTime > std::min(limit, NonIdempotentIdleLimit)) {
            break;
        }
        auto connection = std::move(m_idleConnections.front());
        m_idleConnections.pop_front();
        return connection;
    }
    return newConnection();
}

std::unique_ptr<TargetConnection> TargetDispatcher::newConnection()
{
    m_connections.add();
    auto connection
        = std::make_unique<TargetConnection>(m_loop, m_settings.targetAddress, m_adapter.headers(), [this](TargetConnection &c) { removeIdleConnection(c); });
    if (m_memory != nullptr) {
        connection->accountTo(*m_memory);
    }
    return connection;
}

void TargetDispatcher::releaseConnection(std::unique_ptr<TargetConnection> connection)
{
    if (connection->isReusable()) {
        m_idleConnections.push_front(std::move(connection));
        if (m_idleConnections.size() > MaxIdleConnections) {
            m_idleConnections.pop_back();
        }
        return;
    }
    m_loop.destroyLater(std::move(connection));
}

void TargetDispatcher::removeIdleConnection(TargetConnection &connection)
{
    const auto it = std::find_if(m_idleConnections.begin(), m_idleConnections.end(), [&](const auto &each) { return each.get() == &connection; });
    if (it != m_idleConnections.end()) {
        m_loop.destroyLater(std::move(*it));
        m_idleConnections.erase(it);
    }
    // A target that ends while nothing runs there is noticed by its idle connections, which all close.
    if (m_cold.isEnabled() && m_idleConnections.empty() && m_requests.empty() && !m_crashCheck && !m_crashCheckTimer.isActive()) {
        m_brokenAt = m_loop.turnTime();
        m_crashCheckTimer.start(m_loop.timers(), CrashCheckDelay, [this](TimePoint) { beginCrashCheck(); });
    }
}

void TargetDispatcher::onStaleConnection(Duration idle)
{
    m_staleConnections.add();
    m_idleLimit = std::max(MinIdleLimit, std::min(m_idleLimit, idle) / 2);
    m_idleLimitLearntAt = m_loop.turnTime();
    logEvent(LogLevel::Info, "target_dropped_idle_connection")
        .with("rested_ms", std::chrono::duration_cast<milliseconds>(idle).count())
        .with("limit_ms", std::chrono::duration_cast<milliseconds>(m_idleLimit).count());
}

std::string TargetDispatcher::buildRequestHead(const ForwardRequest &request, TimePoint now) const
{
    const auto &names = m_adapter.headers();
    auto headers = request.headers;
    const auto left = std::max(milliseconds(1), std::chrono::floor<milliseconds>(request.deadline - now));
    headers.push_back({names.remainingTime, std::to_string(left.count())});
    headers.push_back({names.targetId, request.targetId});
    BodyDelimiter delimiter{request.bodyLength, !request.bodyLength};
    if (request.bodyLength == 0 && (request.method == "GET" || request.method == "HEAD")) {
        delimiter.length.reset();
    }
    return formatRequestHead(request.method, request.path, headers, delimiter);
}

// ---- [target] ---------------------------------------------------------------------------------------------------

void TargetDispatcher::setTarget(const TargetRecord *target)
{
    m_targetDraining = target == nullptr ? !m_targetId.empty() : target->state == TargetState::Draining;
    if (target == nullptr) {
        return;
    }
    if (isNewLifetime(*target)) {
        logEvent(LogLevel::Info, "own_target")
            .with("target", target->id)
            .with("before", m_targetId)
            .with("started_at_ms", target->startedAtMs)
            .with("slots", target->slots);
        m_targetId = target->id;
        m_targetStartedAtMs = target->startedAtMs;
        m_targetLeaving = false;
        m_queue.onTargetRestarted();
        m_hangs.onTargetRestarted();
        m_statedRate.reset();
        if (m_cold.isEnabled()) {
            m_queue.restartRequestRate(m_loop.turnTime());
        }
        applyRequestRate();
        m_unreadableRateLogged = false;
        m_idleConnections.clear();
        m_failures = {};
        m_connectBackoffUntil = TimePoint::min();
    }
    m_cold.onEntry(m_loop.turnTime(), *target);
    updateColdness();
    m_hangs.setSlots(target->slots);
    apply(m_queue.setHangLimit(m_loop.turnTime(), m_hangs.limit()));
    apply(m_queue.resize(m_loop.turnTime(), target->slots));
}

/// A target may start again under the id that it had.
bool TargetDispatcher::isNewLifetime(const TargetRecord &target) const
{
    return target.id != m_targetId || target.startedAtMs > m_targetStartedAtMs;
}

void TargetDispatcher::logLoad()
{
    const auto load = report();
    if (m_refusedSinceLog == 0 && load.waiting == 0) {
        return;
    }
    logEvent(LogLevel::Info, "target_load")
        .with("target", m_targetId)
        .with("running", load.running)
        .with("waiting", load.waiting)
        .with("slots", load.limit)
        .with("mean_service_ms", std::chrono::duration_cast<milliseconds>(load.meanServiceTime).count())
        .with("failed_permille", std::lround(load.failureRate * Permille))
        .with("carry_wait_ms", load.uplinkDelay.count())
        .with("refused", m_refusedSinceLog);
    m_refusedSinceLog = 0;
}

void TargetDispatcher::setEvacuated(bool evacuated)
{
    if (evacuated == m_evacuated) {
        return;
    }
    m_evacuated = evacuated;
    if (evacuated) {
        apply(m_queue.refuseWaiting(Reason::Evacuated));
    }
}

void TargetDispatcher::beginLeaving(TimePoint latestDeadline)
{
    m_leaving = true;
    std::vector<AdmissionId> ids;
    for (const auto &[id, active] : m_requests) {
        ids.push_back(id);
    }
    for (const auto id : ids) { // shortening a deadline may end requests
        shortenDeadline(id, latestDeadline);
    }
}

void TargetDispatcher::shortenDeadline(AdmissionId id, TimePoint deadline)
{
    const auto it = m_requests.find(id);
    if (it != m_requests.end()) {
        it->second->shortenDeadline(deadline);
    }
}

TargetReport TargetDispatcher::report() const
{
    auto report = m_queue.report(m_loop.turnTime());
    report.requestRate = rateInForce();
    report.failureRate = m_failures.at(m_loop.turnTime());
    report.uplinkDelay = std::chrono::duration_cast<milliseconds>(uplinkDelay());
    if (m_uplink != nullptr) {
        report.uplinkTimePerKib = std::chrono::duration_cast<microseconds>(m_uplink->timeFor(BytesPerKib));
    }
    // Nodes that do not know of the evacuation yet are to turn to other targets.
    report.leaving = m_leaving || m_evacuated || m_targetDraining || m_targetLeaving || m_loop.turnTime() < m_connectBackoffUntil;
    return report;
}

} // namespace Fescuenotch
