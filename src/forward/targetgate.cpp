// Sections: [limits] [one request] [its stream] [admission] [connections] [target]
#include "forward/targetgate.h"

#include "kernel/logging.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

// ---- [limits] ---------------------------------------------------------------------------------------------------

constexpr Duration IdleLimitAtMost = seconds(8); ///< s; below the ten seconds at which the users' targets close
constexpr Duration IdleLimitNotRepeatable = milliseconds(250); ///< ms; a request that must not run twice takes no older connection
constexpr Duration LeastIdleLimit = milliseconds(20); ///< ms; a target that drops connections sooner gets a new one each time
constexpr Duration IdleLimitMemory = seconds(10); ///< s; after this a learnt limit is tried to be raised
constexpr Duration StaleAfter = milliseconds(20); ///< ms; a connection that rested less was not dropped for resting
constexpr Duration DownFor = milliseconds(300); ///< ms; between tries to reach a target that took no connection
constexpr Duration NoticeTime = milliseconds(30); ///< ms; a slot is kept so long after its connection was reset
constexpr double ResultWeight = 0.05; ///< of one result in the share of failures
constexpr std::size_t MostRoutes = 1'024; ///< routes whose answers' size is remembered
constexpr std::size_t BytesPerKib = 1'024;
constexpr double Permille = 1'000;
constexpr std::size_t MostIdle = 64; ///< connections; above every stated number of slots

constexpr unsigned SlotsBeforeListed = 4; ///< requests at once to a target whose entry is not known yet

SlotQueueSettings firstSettings()
{
    SlotQueueSettings settings;
    settings.slots = SlotsBeforeListed;
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
                                             Reason::Cancelled};
    return reasons;
}

} // namespace

// ---- [one request] ----------------------------------------------------------------------------------------------

class TargetGate::Work final : public TargetConnectionEvents
{
public:
    Work(TargetGate &gate, WorkId id, ForwardRequest request, ForwardListener &listener)
        : m_gate(gate)
        , m_id(id)
        , m_request(std::move(request))
        , m_listener(&listener)
        , m_offeredAt(gate.m_loop.turnTime())
    {
    }

    const ForwardRequest &request() const
    {
        return m_request;
    }

    /// The answer must be here early enough to be carried to the entry node.
    WorkTicket ticket() const
    {
        const auto carry = m_gate.carryTime(m_request);
        return {m_id, m_request.route, m_request.priority, m_request.goal - carry, m_request.deadline - carry};
    }

    void start()
    {
        const auto now = m_gate.m_loop.turnTime();
        m_startedAt = now;
        m_gate.m_waitTime.record(now - m_offeredAt);
        m_deadline.start(m_gate.m_loop.timers(), m_request.deadline - now, [this](TimePoint) { giveUp(Reason::DeadlinePassed); });
        sendOn(m_gate.takeConnection(m_request));
    }

    bool isRunning() const
    {
        return m_connection != nullptr;
    }

    /// The entry side wants no answer any more.
    void cancel()
    {
        m_listener = nullptr;
        m_gate.m_cancelled.add();
        if (isRunning()) {
            giveUp(Reason::Cancelled);
            return;
        }
        m_gate.removeWork(m_id, Outcome::NotRun);
        m_gate.apply(m_gate.m_queue.withdraw(m_gate.m_loop.turnTime(), m_id));
    }

    /// Ends a request that was not sent to the target.
    void refuse(const AdmissionVerdict &verdict)
    {
        ForwardEnd end;
        end.outcome = Outcome::NotRun;
        end.reason = verdict.reason;
        end.retryAfter = verdict.retryAfter;
        tellEnd(end);
    }

    void sendBody(std::string_view bytes, bool last)
    {
        std::string framed = bytes.empty() ? std::string() : m_request.bodyLength ? std::string(bytes) : formatChunk(bytes);
        framed += last && !m_request.bodyLength ? LastChunk : std::string_view();
        if (isRunning()) {
            m_connection->sendBody(framed, last);
        } else {
            m_laterBody += framed;
            m_laterBodyEnds = last;
        }
    }

    bool wantsBody() const
    {
        return (isRunning() ? m_connection->pendingBytes() : m_laterBody.size()) < StreamWindow;
    }

    void grant(std::size_t bytes)
    {
        m_untaken -= std::min(bytes, m_untaken);
        if (isRunning() && m_untaken < StreamWindow) {
            m_connection->resumeAnswer();
        }
    }

    void onTargetAnswer(ForwardAnswer answer) override
    {
        m_status = answer.status;
        const bool saysNotRun
            = findHeader(answer.headers, m_gate.m_adapter.headers().notRun) != nullptr || answer.status == m_gate.m_adapter.wrongTargetStatus();
        if (saysNotRun) {
            m_turnedAway = true;
            return;
        }
        m_headTold = true;
        m_listener->onAnswer(std::move(answer));
    }

    void onTargetBody(std::string_view bytes) override
    {
        if (m_turnedAway) {
            return;
        }
        m_untaken += bytes.size();
        m_answerBytes += bytes.size();
        if (m_untaken >= StreamWindow) {
            m_connection->pauseAnswer();
        }
        m_listener->onAnswerBody(bytes);
    }

    void onTargetWritable() override
    {
        if (m_listener != nullptr) {
            m_listener->onBodyWanted();
        }
    }

    void onExchangeEnd(const ExchangeEnd &end) override
    {
        if (end.kind == ExchangeEnd::Kind::Answered) {
            m_gate.keepConnection(std::move(m_connection));
            m_turnedAway ? endTurnedAway() : endAnswered();
        } else if (end.kind == ExchangeEnd::Kind::ConnectFailed) {
            endUnsent();
        } else {
            endBroken(end);
        }
    }

private:
    void sendOn(std::unique_ptr<TargetConnection> connection)
    {
        m_connection = std::move(connection);
        m_connection->send(m_request, m_gate.headFor(m_request, m_gate.m_loop.turnTime()), *this);
        if (!m_laterBody.empty() || m_laterBodyEnds) {
            m_connection->sendBody(m_laterBody, m_laterBodyEnds);
            m_laterBody.clear();
        }
    }

    void endAnswered()
    {
        const auto now = m_gate.m_loop.turnTime();
        m_gate.noteResult(isServerError(m_status));
        m_gate.noteAnswerSize(m_request.route, m_answerBytes);
        m_gate.m_serviceTime.record(now - m_startedAt);
        ForwardEnd end;
        end.outcome = Outcome::Ran;
        end.complete = true;
        end.offered = true;
        finish(end, isServerError(m_status) ? Duration(0) : now - m_startedAt);
    }

    void endTurnedAway()
    {
        const bool wrongTarget = m_status == m_gate.m_adapter.wrongTargetStatus();
        if (wrongTarget) {
            m_gate.m_absentId = m_request.targetId;
        } else {
            m_gate.m_queue.onTurnedAway(m_gate.m_loop.turnTime());
            m_gate.noteResult(true);
        }
        ForwardEnd end;
        end.outcome = Outcome::NotRun;
        end.reason = wrongTarget ? Reason::WrongHost : Reason::TargetShed;
        end.offered = true;
        finish(end, Duration(0));
    }

    void endUnsent()
    {
        m_gate.m_downUntil = m_gate.m_loop.turnTime() + DownFor;
        ForwardEnd end;
        end.outcome = Outcome::NotRun;
        end.reason = Reason::ConnectFailed;
        finish(end, Duration(0));
    }

    void endBroken(const ExchangeEnd &exchange)
    {
        const bool droppedWhileResting = !exchange.anyAnswer && exchange.idleBefore >= StaleAfter;
        if (droppedWhileResting) {
            m_gate.noteStale(exchange.idleBefore);
        }
        const bool sendAgain = droppedWhileResting && m_request.kind != RouteKind::NotIdempotent && m_request.bodyWhole && !m_sentAgain;
        if (sendAgain) {
            m_sentAgain = true;
            auto dropped = std::move(m_connection);
            sendOn(m_gate.newConnection());
            m_gate.m_loop.destroyLater(std::move(dropped));
            return;
        }
        m_gate.noteResult(true);
        ForwardEnd end;
        end.reason = Reason::TargetBroke;
        end.offered = true;
        logEvent(LogLevel::Warning, "target_broke")
            .with("request", m_request.requestId)
            .with("target", m_request.targetId)
            .with("route", m_request.route)
            .with("detail", exchange.detail)
            .with("idle_ms", std::chrono::duration_cast<milliseconds>(exchange.idleBefore).count())
            .with("head_passed", m_headTold ? 1 : 0);
        finish(end, Duration(0));
    }

    void giveUp(Reason reason)
    {
        const auto now = m_gate.m_loop.turnTime();
        m_connection->abandon();
        if (reason == Reason::DeadlinePassed) {
            m_gate.noteResult(true);
        }
        ForwardEnd end;
        end.reason = reason;
        end.offered = true;
        const auto service = reason == Reason::DeadlinePassed ? now - m_startedAt : Duration(0);
        m_deadline.cancel();
        auto &gate = m_gate;
        const auto id = m_id;
        gate.removeWork(id, end.outcome);
        // The target needs a moment to see that its connection is gone; its slot is busy until then.
        gate.m_loop.timers().after(NoticeTime, [&gate, id, service, alive = std::weak_ptr(gate.m_alive)](TimePoint) {
            if (!alive.expired()) {
                gate.freeSlot(id, service);
            }
        });
        tellEnd(end);
    }

    void finish(const ForwardEnd &end, Duration service)
    {
        m_deadline.cancel();
        m_gate.removeWork(m_id, end.outcome);
        m_gate.freeSlot(m_id, service);
        tellEnd(end);
    }

    void tellEnd(ForwardEnd end)
    {
        if (m_listener == nullptr) {
            return;
        }
        end.report = m_gate.report();
        auto *listener = m_listener;
        m_listener = nullptr;
        listener->onEnded(end);
    }

    TargetGate &m_gate;
    WorkId m_id;
    ForwardRequest m_request;
    ForwardListener *m_listener; ///< null when nobody waits for the answer
    TimePoint m_offeredAt;
    TimePoint m_startedAt;
    ScopedTimer m_deadline;
    std::unique_ptr<TargetConnection> m_connection;
    std::string m_laterBody; ///< body pieces that came while the request waited, framed
    bool m_laterBodyEnds = false;
    std::size_t m_untaken = 0; ///< bytes of the answer that the entry side has not taken
    unsigned m_status = 0;
    std::size_t m_answerBytes = 0;
    bool m_turnedAway = false; ///< the target says that it did not run the request
    bool m_headTold = false;
    bool m_sentAgain = false;
};

// ---- [its stream] -----------------------------------------------------------------------------------------------

class TargetGate::Stream final : public ForwardStream
{
public:
    Stream(TargetGate &gate, WorkId id)
        : m_gate(gate)
        , m_alive(gate.m_alive)
        , m_id(id)
    {
    }

    ~Stream() override
    {
        if (auto *work = find()) {
            work->cancel();
        }
    }

    void sendBody(std::string_view bytes, bool last) override
    {
        if (auto *work = find()) {
            work->sendBody(bytes, last);
        }
    }

    bool wantsBody() const override
    {
        const auto *work = find();
        return work == nullptr || work->wantsBody();
    }

    void grant(std::size_t bytes) override
    {
        if (auto *work = find()) {
            work->grant(bytes);
        }
    }

private:
    Work *find() const
    {
        if (m_alive.expired()) {
            return nullptr;
        }
        const auto it = m_gate.m_works.find(m_id);
        return it == m_gate.m_works.end() ? nullptr : it->second.get();
    }

    TargetGate &m_gate;
    std::weak_ptr<bool> m_alive;
    WorkId m_id;
};

// ---- [admission] ------------------------------------------------------------------------------------------------

TargetGate::TargetGate(EventLoop &loop, const DeploymentSettings &settings, const PlatformAdapter &adapter, MetricsRegistry &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_adapter(adapter)
    , m_queue(firstSettings())
    , m_idleLimit(IdleLimitAtMost)
    , m_connections(metrics.counter("fescuenotch_target_connections_total", "Connections opened to the target."))
    , m_staleConnections(metrics.counter("fescuenotch_target_stale_connections_total", "Connections that the target had dropped while they rested."))
    , m_cancelled(metrics.counter("fescuenotch_gate_cancelled_total", "Requests given up by their entry node while they waited or ran."))
    , m_serviceTime(metrics.histogram("fescuenotch_gate_service_seconds", "From the start of a request at the target to its whole answer."))
    , m_waitTime(metrics.histogram("fescuenotch_gate_wait_seconds", "Wait of started requests for a slot."))
{
    for (const auto reason : refusalReasons()) {
        m_refusals[static_cast<int>(reason)]
            = &metrics.counter("fescuenotch_gate_refusals_total", "Requests that the exit node ended as not run.", {{"reason", reasonName(reason)}});
    }
    for (const auto outcome : {Outcome::Ran, Outcome::NotRun, Outcome::Unknown}) {
        m_ends[static_cast<int>(outcome)]
            = &metrics.counter("fescuenotch_gate_requests_total", "Requests that the exit node ended.", {{"outcome", outcomeName(outcome)}});
    }
    metrics.gauge("fescuenotch_gate_running", "Requests that run at the target.", {}, [this] { return static_cast<double>(m_queue.running()); });
    metrics.gauge("fescuenotch_gate_waiting", "Requests that wait for a slot.", {}, [this] { return static_cast<double>(m_queue.waiting()); });
    metrics.gauge("fescuenotch_gate_slots", "Slots of the target that may be used.", {}, [this] { return static_cast<double>(m_queue.limit()); });
}

TargetGate::~TargetGate()
{
    m_alive.reset();
}

Reason TargetGate::obstacleTo(const ForwardRequest &request) const
{
    const auto now = m_loop.turnTime();
    if (m_leaving || m_targetLeaves) {
        return Reason::Leaving;
    }
    if (now >= request.deadline) {
        return Reason::DeadlinePassed;
    }
    if (now < m_downUntil) {
        return Reason::ConnectFailed;
    }
    if (!m_absentId.empty() && request.targetId == m_absentId) {
        return Reason::WrongHost;
    }
    return request.targetId.empty() ? Reason::NoTarget : Reason::None;
}

std::unique_ptr<ForwardStream> TargetGate::open(ForwardRequest request, ForwardListener &listener)
{
    const auto id = m_nextWork++;
    const auto obstacle = obstacleTo(request);
    auto owned = std::make_unique<Work>(*this, id, std::move(request), listener);
    AdmissionVerdict verdict{AdmissionVerdict::Kind::Refuse, obstacle, milliseconds(0)};
    if (obstacle == Reason::None) {
        verdict = m_queue.offer(m_loop.turnTime(), owned->ticket());
    }
    auto &work = *m_works.emplace(id, std::move(owned)).first->second;
    if (verdict.kind == AdmissionVerdict::Kind::Start) {
        work.start();
    } else if (verdict.kind == AdmissionVerdict::Kind::Wait) {
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

void TargetGate::apply(const QueueChanges &changes)
{
    for (const auto id : changes.started) {
        startWork(id);
    }
    for (const auto &[id, verdict] : changes.refused) {
        refuse(id, verdict);
    }
    scheduleTick();
}

void TargetGate::startWork(WorkId id)
{
    const auto it = m_works.find(id);
    if (it != m_works.end()) {
        it->second->start();
    }
}

void TargetGate::refuse(WorkId id, const AdmissionVerdict &verdict)
{
    const auto it = m_works.find(id);
    if (it == m_works.end()) {
        return;
    }
    const auto work = std::move(it->second);
    m_works.erase(it);
    const auto counter = m_refusals.find(static_cast<int>(verdict.reason));
    if (counter != m_refusals.end()) {
        counter->second->add();
    }
    m_ends[static_cast<int>(Outcome::NotRun)]->add();
    ++m_refusedSinceReport;
    work->refuse(verdict);
}

void TargetGate::freeSlot(WorkId id, Duration service)
{
    apply(m_queue.finished(m_loop.turnTime(), id, service));
}

/// Takes a request out; the object lives to the end of this turn, since the caller is one of its functions.
void TargetGate::removeWork(WorkId id, Outcome outcome)
{
    m_ends[static_cast<int>(outcome)]->add();
    auto node = m_works.extract(id);
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

void TargetGate::noteAnswerSize(const std::string &route, std::size_t bytes)
{
    if (m_answerBytes.size() > MostRoutes) {
        m_answerBytes.clear();
    }
    auto &mean = m_answerBytes[route];
    mean = mean == 0 ? static_cast<double>(bytes) : (1 - ResultWeight) * mean + ResultWeight * static_cast<double>(bytes);
}

Duration TargetGate::carryWait() const
{
    if (m_uplink == nullptr) {
        return Duration(0);
    }
    double bytes = static_cast<double>(m_uplinkBacklog());
    for (const auto &[id, work] : m_works) {
        const auto it = m_answerBytes.find(work->request().route);
        if (work->request().fromPeer && it != m_answerBytes.end() && it->second > SmallAnswerBytes) {
            bytes += it->second;
        }
    }
    return m_uplink->timeFor(static_cast<std::size_t>(bytes));
}

Duration TargetGate::carryTime(const ForwardRequest &request) const
{
    const auto it = m_answerBytes.find(request.route);
    const bool large = it != m_answerBytes.end() && it->second > SmallAnswerBytes;
    if (!large || !request.fromPeer || m_uplink == nullptr) {
        return Duration(0);
    }
    return carryWait() + m_uplink->timeFor(static_cast<std::size_t>(it->second));
}

void TargetGate::setUplink(const UplinkPacer &pacer, std::function<std::size_t()> backlog)
{
    m_uplink = &pacer;
    m_uplinkBacklog = std::move(backlog);
}

void TargetGate::noteResult(bool failed)
{
    m_failedShare = (1 - ResultWeight) * m_failedShare + ResultWeight * (failed ? 1 : 0);
}

void TargetGate::scheduleTick()
{
    const auto next = m_queue.nextTick();
    if (next == TimePoint::max()) {
        m_tick.cancel();
        return;
    }
    m_tick.start(m_loop.timers(), next - m_loop.turnTime() + milliseconds(1), [this](TimePoint now) { apply(m_queue.tick(now)); });
}

// ---- [connections] ----------------------------------------------------------------------------------------------

std::unique_ptr<TargetConnection> TargetGate::takeConnection(const ForwardRequest &request)
{
    const auto now = m_loop.turnTime();
    if (now - m_idleLimitLearnt > IdleLimitMemory) {
        m_idleLimit = IdleLimitAtMost;
    }
    while (!m_idle.empty()) {
        const auto rested = now - m_idle.front()->idleSince();
        const auto limit = std::min(m_idleLimit, m_idle.front()->statedIdleLimit() - seconds(1));
        if (rested > limit || !m_idle.front()->mayBeReused()) {
            m_idle.clear(); // the others rested longer
            break;
        }
        if (request.kind == RouteKind::NotIdempotent && rested > std::min(limit, IdleLimitNotRepeatable)) {
            break;
        }
        auto connection = std::move(m_idle.front());
        m_idle.pop_front();
        return connection;
    }
    return newConnection();
}

std::unique_ptr<TargetConnection> TargetGate::newConnection()
{
    m_connections.add();
    return std::make_unique<TargetConnection>(m_loop, m_settings.targetAddress, m_adapter.headers(), [this](TargetConnection &c) { dropIdle(c); });
}

void TargetGate::keepConnection(std::unique_ptr<TargetConnection> connection)
{
    if (connection->mayBeReused()) {
        m_idle.push_front(std::move(connection));
        if (m_idle.size() > MostIdle) {
            m_idle.pop_back();
        }
        return;
    }
    m_loop.destroyLater(std::move(connection));
}

void TargetGate::dropIdle(TargetConnection &connection)
{
    const auto it = std::find_if(m_idle.begin(), m_idle.end(), [&](const auto &each) { return each.get() == &connection; });
    if (it != m_idle.end()) {
        m_loop.destroyLater(std::move(*it));
        m_idle.erase(it);
    }
}

void TargetGate::noteStale(Duration idle)
{
    m_staleConnections.add();
    m_idleLimit = std::max(LeastIdleLimit, std::min(m_idleLimit, idle) / 2);
    m_idleLimitLearnt = m_loop.turnTime();
    logEvent(LogLevel::Info, "target_dropped_idle_connection")
        .with("rested_ms", std::chrono::duration_cast<milliseconds>(idle).count())
        .with("limit_ms", std::chrono::duration_cast<milliseconds>(m_idleLimit).count());
}

std::string TargetGate::headFor(const ForwardRequest &request, TimePoint now) const
{
    const auto &names = m_adapter.headers();
    auto headers = request.headers;
    const auto left = std::max(milliseconds(1), std::chrono::floor<milliseconds>(request.deadline - now));
    headers.push_back({names.timeLeft, std::to_string(left.count())});
    headers.push_back({names.targetId, request.targetId});
    BodyDelimiter delimiter{request.bodyLength, !request.bodyLength};
    if (request.bodyLength == 0 && (request.method == "GET" || request.method == "HEAD")) {
        delimiter.length.reset();
    }
    return formatRequestHead(request.method, request.path, headers, delimiter);
}

// ---- [target] ---------------------------------------------------------------------------------------------------

void TargetGate::setTarget(const TargetRecord *target)
{
    m_targetLeaves = target == nullptr ? !m_targetId.empty() : target->state == TargetState::Draining;
    if (target == nullptr) {
        return;
    }
    if (target->id != m_targetId) {
        logEvent(LogLevel::Info, "own_target").with("target", target->id).with("before", m_targetId).with("slots", target->slots);
        m_targetId = target->id;
        m_queue.onNewLifetime();
        m_idle.clear();
        m_failedShare = 0;
        m_downUntil = TimePoint::min();
    }
    apply(m_queue.resize(m_loop.turnTime(), target->slots));
}

void TargetGate::logLoad()
{
    const auto load = report();
    if (m_refusedSinceReport == 0 && load.waiting == 0) {
        return;
    }
    logEvent(LogLevel::Info, "target_load")
        .with("target", m_targetId)
        .with("running", load.running)
        .with("waiting", load.waiting)
        .with("slots", load.limit)
        .with("mean_service_ms", std::chrono::duration_cast<milliseconds>(load.meanService).count())
        .with("failed_permille", std::lround(load.failedShare * Permille))
        .with("carry_wait_ms", load.carryWait.count())
        .with("refused", m_refusedSinceReport);
    m_refusedSinceReport = 0;
}

void TargetGate::beginLeaving()
{
    m_leaving = true;
}

TargetReport TargetGate::report() const
{
    auto report = m_queue.report();
    report.failedShare = m_failedShare;
    report.carryWait = std::chrono::duration_cast<milliseconds>(carryWait());
    if (m_uplink != nullptr) {
        report.carryPerKib = std::chrono::duration_cast<microseconds>(m_uplink->timeFor(BytesPerKib));
    }
    report.leaving = m_leaving || m_targetLeaves || m_loop.turnTime() < m_downUntil;
    return report;
}

} // namespace Fescuenotch
