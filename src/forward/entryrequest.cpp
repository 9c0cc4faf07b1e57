// Sections: [routing] [body] [attempts] [answer] [failures] [end]
#include "forward/entryrequest.h"

#include "kernel/logging.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Fescuenotch {

namespace {

/// ms; how long after the deadline the entry node waits for the result. The exit node ends a request at its deadline, and its
/// result, usually "not run", may take this long over a slow link.
constexpr milliseconds DeadlineGrace{100};
constexpr milliseconds DefaultRetryAfter{250}; ///< ms; sent to the caller if no exit node gave a time
constexpr milliseconds MinRetryAfter{50}; ///< ms
constexpr milliseconds NoConfigurationRetryAfter{500}; ///< ms; a new node has a configuration after about this time
constexpr milliseconds QuarantineRetryAfter{10'000}; ///< ms; a target may answer the next probe by then
constexpr milliseconds MemoryFullRetryAfter{1'000}; ///< ms; answers that are being read free their memory in about this time
constexpr unsigned FirstServerError = 500;
constexpr std::size_t HeadCopies = 2; ///< as received and as forwarded

std::optional<milliseconds> parseRemainingTime(const std::string *text)
{
    if (text == nullptr) {
        return std::nullopt;
    }
    milliseconds::rep n = 0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), n);
    const bool valid = ec == std::errc() && n >= 0 && (end == text->data() + text->size() || *end == '.');
    return valid ? std::optional(milliseconds(n)) : std::nullopt;
}

/// Decimal seconds: callers of the platform accept fractions in Retry-After.
std::string formatSeconds(milliseconds time)
{
    auto text = std::to_string(time.count() / 1'000) + "." + std::to_string(1'000 + time.count() % 1'000).substr(1);
    return text;
}

/// Equal for requests with the same host, path, method and body, whoever sends them. Of a streamed body only the first part counts.
Fingerprint fingerprintOf(const MessageHead &head, const std::string &body)
{
    const auto *host = findHeader(head.headers, "Host");
    const auto text = head.method + ' ' + head.target + ' ' + (host == nullptr ? std::string() : *host);
    return XXH64(body.data(), body.size(), XXH64(text.data(), text.size(), 0));
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace

// ---- [routing] --------------------------------------------------------------------------------------------------

EntryRequest::EntryRequest(EntryContext &context, AnswerWriter &writer, MessageHead head)
    : m_context(context)
    , m_writer(writer)
    , m_head(std::move(head))
    , m_arrivedAt(context.now())
{
}

EntryRequest::~EntryRequest()
{
    cancelAttempt();
}

void EntryRequest::start()
{
    m_context.metrics.requests.add();
    if (!resolveRoute()) {
        return;
    }
    startDeadlineTimer();
}

void EntryRequest::startDeadlineTimer()
{
    m_deadlineTimer.start(m_context.loop().timers(), m_deadline - m_context.now() + DeadlineGrace, [this](TimePoint) { onDeadline(); });
}

void EntryRequest::onNodeStops()
{
    if (m_done || m_route == nullptr) {
        return;
    }
    if (m_deadline > m_context.latestDeadline()) {
        m_deadline = m_context.latestDeadline();
        startDeadlineTimer();
    }
    if (m_stream) {
        m_stream->onEntryStops(m_deadline);
    }
}

bool EntryRequest::resolveRoute()
{
    const auto &names = m_context.dependencies().adapter->headers();
    if (const auto *id = findHeader(m_head.headers, names.requestId)) {
        m_requestId = *id;
    }
    m_table = m_context.table();
    if (!m_table) {
        refuse(503, Outcome::NotRun, Reason::NoProfile, NoConfigurationRetryAfter);
        return false;
    }
    const auto *host = findHeader(m_head.headers, "Host");
    m_route = m_table->match(host == nullptr ? std::string_view() : std::string_view(*host), m_head.target);
    if (m_route == nullptr) {
        refuse(404, Outcome::NotRun, Reason::NoRoute, milliseconds(0));
        return false;
    }
    computeDeadline(m_arrivedAt);
    prepareHeaders();
    m_service = m_context.trafficSplit.choose(*m_route);
    m_context.retryPolicy.onRequest(m_arrivedAt, m_service);
    return true;
}

void EntryRequest::computeDeadline(TimePoint arrived)
{
    const auto remainingTime = parseRemainingTime(findHeader(m_head.headers, m_context.dependencies().adapter->headers().remainingTime));
    m_deadline = std::min(arrived + std::min(m_route->timeout, remainingTime.value_or(m_route->timeout)), m_context.latestDeadline());
    if (remainingTime) {
        m_estimatedAge = m_context.requestAges.estimate(m_route->name, *remainingTime);
    }
    m_goal = arrived + m_route->latencyGoal - m_estimatedAge;
}

void EntryRequest::prepareHeaders()
{
    const auto &names = m_context.dependencies().adapter->headers();
    m_headers = m_head.headers;
    removeFramingHeaders(m_headers);
    std::erase_if(m_headers, [&](const Header &header) {
        return sameHeaderName(header.name, names.remainingTime) || sameHeaderName(header.name, names.callerService)
            || sameHeaderName(header.name, names.targetId) || sameHeaderName(header.name, "Expect");
    });
    m_headers.push_back({names.callerService, m_context.dependencies().settings->service});
}

// ---- [body] -----------------------------------------------------------------------------------------------------

void EntryRequest::onRequestBody(std::string_view bytes, bool last)
{
    m_bodyComplete = last;
    if (m_done) {
        return;
    }
    if (m_streaming) {
        if (m_stream) {
            m_stream->sendBody(bytes, last);
        }
        return;
    }
    m_body.append(bytes);
    if (m_bodyComplete) {
        m_fingerprint = fingerprintOf(m_head, m_body);
        startAttempt();
    } else if (m_body.size() > MaxBufferedBodyBytes) {
        m_streaming = true;
        m_fingerprint = fingerprintOf(m_head, m_body);
        startAttempt();
        std::string().swap(m_body); // the target's host has it now
    }
}

bool EntryRequest::isReadyForBody() const
{
    return m_done || !m_streaming || !m_stream || m_stream->isReadyForBody();
}

void EntryRequest::onReadyForBody()
{
    m_writer.resumeRequestBody();
}

// ---- [attempts] -------------------------------------------------------------------------------------------------

/// Time that a large answer waits for this host's own link on its way to the caller.
Duration EntryRequest::transferOnOwnLink() const
{
    const bool isLarge = m_context.loadBalancer.expectedResponseBytes(m_route->name) > MaxSmallResponseBytes;
    return isLarge ? m_context.dependencies().links->uplink().backlogDelay(m_context.now()) : Duration(0);
}

ForwardRequest EntryRequest::forwardRequest() const
{
    ForwardRequest request;
    request.requestId = m_requestId;
    request.service = m_service;
    request.targetId = m_target->id;
    request.route = m_route->name;
    request.method = m_head.method;
    request.path = m_head.target;
    request.headers = m_headers;
    request.kind = m_route->kind;
    request.priority = m_route->priority;
    const auto onOwnLink = transferOnOwnLink();
    request.deadline = m_deadline - onOwnLink;
    request.goal = m_goal - onOwnLink;
    request.bodyLength = m_head.chunked ? std::nullopt : m_head.length;
    request.body = m_body;
    request.bodyComplete = m_bodyComplete;
    request.entryStops = m_context.isStopping();
    request.isLastAttempt = m_streaming || !m_context.retryPolicy.mayRetry(m_context.now(), *m_route, m_service, m_retryState);
    request.fingerprint = m_fingerprint;
    request.targetRequestRate = m_context.loadBalancer.requestRateOf(m_target->id);
    if (m_bodyComplete && !m_streaming) {
        request.bodyLength = m_body.size();
    }
    return request;
}

bool EntryRequest::refuseIfQuarantined()
{
    if (m_context.passesQuarantine(m_fingerprint)) {
        return false;
    }
    DeliveryResult end;
    end.outcome = m_retryState.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    end.reason = Reason::Quarantined;
    failRequest(end, QuarantineRetryAfter);
    return true;
}

bool EntryRequest::refuseIfMemoryIsFull()
{
    const auto expected = m_context.loadBalancer.expectedResponseBytes(m_route->name);
    if (m_attempted || m_context.dependencies().memory->admits(m_context.now(), expected)) {
        return false;
    }
    DeliveryResult end;
    end.outcome = Outcome::NotRun;
    end.reason = Reason::MemoryFull;
    failRequest(end, MemoryFullRetryAfter);
    return true;
}

void EntryRequest::startAttempt()
{
    if (refuseIfQuarantined() || refuseIfMemoryIsFull()) {
        return;
    }
    const auto now = m_context.now();
    const BalancedRequest wanted{m_route->name, m_goal - now, m_triedTargets};
    const auto &candidates = m_context.candidates(m_service);
    m_target = m_context.loadBalancer.choose(now, candidates, wanted);
    const bool highestPriority = m_route->priority == 0;
    const bool cold = m_target && m_context.loadBalancer.isColdBeyond(now, candidates, wanted, m_deadline - now, highestPriority);
    if (!m_target || cold) {
        DeliveryResult end;
        end.outcome = m_retryState.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        end.reason = m_context.isEvacuated(m_service) ? Reason::Evacuated : cold ? Reason::TargetCold : m_refusalReason;
        failRequest(end, m_context.loadBalancer.expectedWait(now, candidates));
        return;
    }
    m_attempted = true;
    m_answerStarted = false;
    m_heldAnswer.reset();
    m_heldBody.clear();
    m_answerBytes = 0;
    m_uncreditedBytes = 0;
    m_status = 0;
    m_triedTargets.push_back(m_target->id);
    m_stream = m_context.openStream(*m_target, forwardRequest(), *this);
}

// ---- [answer] ---------------------------------------------------------------------------------------------------

void EntryRequest::onAnswer(ForwardAnswer answer)
{
    m_status = answer.status;
    if (saysLeaving(answer.headers, m_context.dependencies().adapter->headers())) {
        m_context.loadBalancer.onTargetLeaving(*m_target);
    }
    if (retryOnServerError(answer.status)) {
        return;
    }
    m_answerStarted = true;
    if (mayHold(answer)) {
        m_heldAnswer = std::move(answer);
        return;
    }
    m_writer.beginAnswer(answer.status, answer.headers, answer.bodyLength);
}

bool EntryRequest::mayHold(const ForwardAnswer &answer) const
{
    return m_context.isStopping() && answer.bodyLength && *answer.bodyLength <= MaxHeldAnswerBytes;
}

bool EntryRequest::hasForwardedAnswer() const
{
    return m_answerStarted && !m_heldAnswer;
}

/// Discards a 5xx answer and retries the request on another target if the retry policy allows it. Returns whether it did.
bool EntryRequest::retryOnServerError(unsigned status)
{
    if (status < FirstServerError || m_streaming) {
        return false;
    }
    DeliveryResult end;
    end.outcome = Outcome::Ran;
    end.reason = Reason::TargetBroke;
    end.offered = true;
    end.status = status;
    auto state = m_retryState;
    const auto step = m_context.retryPolicy.next(m_context.now(), m_deadline, *m_route, m_service, end, state);
    if (step != NextStep::Retry) {
        return false;
    }
    m_retryState = state;
    m_context.loadBalancer.onEnded(m_context.now(), m_target->id, SendResult::Failed);
    m_context.metrics.onNextStep(step, end.reason);
    logAttemptEnd("repeat", end);
    m_stream.reset(); // before the next attempt, whose answer must not be mixed with the rest of this one
    startAttempt();
    return true;
}

void EntryRequest::onAnswerBody(std::string_view bytes)
{
    m_answerBytes += bytes.size();
    m_uncreditedBytes += bytes.size();
    if (m_heldAnswer) {
        m_heldBody += bytes;
    } else {
        m_writer.answerBody(bytes);
    }
    onAnswerBacklogReduced();
}

void EntryRequest::onAnswerBacklogReduced()
{
    if (m_uncreditedBytes > 0 && m_stream && m_writer.answerBacklog() < m_context.dependencies().memory->streamWindow(StreamWindow)) {
        m_stream->grantCredit(m_uncreditedBytes);
        m_uncreditedBytes = 0;
    }
}

void EntryRequest::onEnded(const ForwardEnd &end)
{
    const auto now = m_context.now();
    m_context.loop().destroyLater(std::move(m_stream));
    const auto target = *m_target;
    if (end.report) {
        m_context.loadBalancer.onReport(now, target.id, *end.report);
    }
    if (end.outcome == Outcome::Ran && end.complete && m_answerStarted) {
        m_context.loadBalancer.onEnded(now, target.id, m_status >= FirstServerError ? SendResult::Failed : SendResult::Served);
        m_context.loadBalancer.onResponseSize(m_route->name, m_answerBytes);
        if (m_heldAnswer) {
            m_writer.beginAnswer(m_heldAnswer->status, m_heldAnswer->headers, m_heldAnswer->bodyLength);
            m_writer.answerBody(m_heldBody);
        }
        const auto status = m_status;
        m_writer.finishAnswer();
        finish(status);
        return;
    }
    const bool unreached = end.reason == Reason::LinkLost || (end.reason == Reason::ConnectFailed && !end.report);
    const auto result = unreached         ? SendResult::Unreachable
        : end.reason == Reason::WrongHost ? SendResult::Replaced
        : end.outcome == Outcome::NotRun  ? SendResult::Rejected
        : end.reason == Reason::Cancelled ? SendResult::Cancelled
                                          : SendResult::Failed;
    m_context.loadBalancer.onEnded(now, target.id, result);
    if (end.reason == Reason::Evacuated) {
        excludeDataCentre(target.dataCentre);
    }
    handleFailure({end.outcome, end.reason, end.offered || end.outcome == Outcome::Unknown, hasForwardedAnswer(), 0}, end.retryAfter);
}

// ---- [failures] -------------------------------------------------------------------------------------------------

/// An exit node knows of an evacuation before this node does: its data centre's other targets would be refused too.
void EntryRequest::excludeDataCentre(const std::string &dataCentre)
{
    const auto ids = m_context.candidatesIn(m_service, dataCentre);
    m_triedTargets.insert(m_triedTargets.end(), ids.begin(), ids.end());
    if (m_refusalReason == Reason::NoTarget) {
        m_refusalReason = Reason::Evacuated;
    }
}

void EntryRequest::handleFailure(const DeliveryResult &end, milliseconds retryAfter)
{
    if (retryAfter > milliseconds(0) && (m_retryAfter == milliseconds(0) || retryAfter < m_retryAfter)) {
        m_retryAfter = retryAfter;
        const bool namesCause = end.reason == Reason::TargetLimit || end.reason == Reason::TargetCold || end.reason == Reason::TargetShed;
        m_refusalReason = namesCause ? end.reason : Reason::QueueFull;
    }
    auto step = m_context.retryPolicy.next(m_context.now(), m_deadline, *m_route, m_service, end, m_retryState);
    if (m_streaming || mayCrashTheNextTarget(end)) {
        step = NextStep::End;
    }
    m_context.metrics.onNextStep(step, end.reason);
    if (step == NextStep::End) {
        failRequest(end, m_retryAfter);
        return;
    }
    if (step == NextStep::Retry) {
        logAttemptEnd("repeat", end);
    }
    startAttempt();
}

/// After the second crash of a target this node does not send the request to a third one.
bool EntryRequest::mayCrashTheNextTarget(const DeliveryResult &end) const
{
    return end.reason == Reason::TargetBroke && m_context.dependencies().crashSuspects->crashesOf(m_fingerprint) > 0;
}

void EntryRequest::failRequest(const DeliveryResult &end, milliseconds retryAfter)
{
    if (end.responseStarted) {
        m_context.metrics.brokenAnswers.add();
        logAttemptEnd("answer_broken", end);
        m_writer.abortAnswer();
        finish(0);
        return;
    }
    const bool notRun = !m_retryState.mayHaveRun && end.outcome == Outcome::NotRun;
    const bool late = end.reason == Reason::DeadlinePassed;
    const bool isRate = end.reason == Reason::TargetLimit || end.reason == Reason::TargetCold;
    const bool busy = end.reason == Reason::QueueFull || end.reason == Reason::WaitTooLong || isRate;
    const unsigned status = notRun ? (busy ? 429 : 503) : late ? 504 : 502;
    refuse(status, notRun ? Outcome::NotRun : Outcome::Unknown, end.reason, retryAfter == milliseconds(0) ? DefaultRetryAfter : retryAfter);
}

void EntryRequest::refuse(unsigned status, Outcome outcome, Reason reason, milliseconds retryAfter)
{
    m_context.metrics.onRefusal(reason);
    if (m_route != nullptr) {
        m_context.requestAges.onFailed(m_route->name);
    }
    Headers headers{{"Content-Type", "application/json"}, {"Fescuenotch-Outcome", outcomeName(outcome)}};
    if (outcome == Outcome::NotRun && retryAfter > milliseconds(0)) {
        headers.push_back({"Retry-After", formatSeconds(std::max(retryAfter, MinRetryAfter))});
    }
    const nlohmann::ordered_json body{{"reason", reasonName(reason)}, {"remedy", reasonRemedy(reason)}};
    const auto text = body.dump() + "\n";
    logEvent(LogLevel::Info, "refused")
        .with("request", m_requestId)
        .with("route", m_route == nullptr ? std::string() : m_route->name)
        .with("service", m_service)
        .with("status", status)
        .with("outcome", outcomeName(outcome))
        .with("reason", reasonName(reason))
        .with("fingerprint", m_fingerprint)
        .with("retry_after_ms", retryAfter.count())
        .with("tried", m_triedTargets.size())
        .with("offered", m_retryState.offered)
        .with("age_ms", toMilliseconds(m_estimatedAge))
        .with("held_ms", toMilliseconds(m_context.now() - m_arrivedAt))
        .with("config", m_table ? m_table->version() : 0);
    m_writer.beginAnswer(status, headers, text.size());
    m_writer.answerBody(text);
    m_writer.finishAnswer();
    finish(status);
}

void EntryRequest::onDeadline()
{
    endUnfinished(Reason::DeadlinePassed, milliseconds(0));
}

void EntryRequest::refuseForMemory()
{
    endUnfinished(Reason::MemoryFull, MemoryFullRetryAfter);
}

void EntryRequest::endUnfinished(Reason reason, milliseconds retryAfter)
{
    if (m_done) {
        return;
    }
    DeliveryResult end;
    end.reason = reason;
    end.offered = m_attempted;
    end.outcome = m_attempted ? Outcome::Unknown : Outcome::NotRun;
    end.responseStarted = hasForwardedAnswer();
    cancelAttempt();
    m_retryState.mayHaveRun = m_retryState.mayHaveRun || m_attempted;
    failRequest(end, retryAfter);
}

void EntryRequest::onCallerDisconnected()
{
    if (m_done) {
        return;
    }
    m_context.metrics.callersDisconnected.add();
    logEvent(LogLevel::Info, "caller_left")
        .with("request", m_requestId)
        .with("route", m_route == nullptr ? std::string() : m_route->name)
        .with("held_ms", toMilliseconds(m_context.now() - m_arrivedAt))
        .with("target", m_target ? m_target->id : std::string());
    cancelAttempt();
    finish(0);
}

std::size_t EntryRequest::heldBytes() const
{
    if (m_done) {
        return 0;
    }
    return HeadCopies * m_head.headBytes + m_body.capacity() + (m_stream ? m_stream->unsentBodyBytes() : 0);
}

std::size_t EntryRequest::heldAnswerBytes() const
{
    return m_heldBody.size();
}

void EntryRequest::logUnanswered() const
{
    logEvent(LogLevel::Warning, "cut_by_exit")
        .with("request", m_requestId)
        .with("route", m_route == nullptr ? std::string() : m_route->name)
        .with("target", m_target ? m_target->id : std::string())
        .with("exit_node", m_target ? m_target->address.host : std::string())
        .with("status", m_status)
        .with("received_bytes", m_answerBytes)
        .with("held_ms", toMilliseconds(m_context.now() - m_arrivedAt))
        .with("left_ms", toMilliseconds(m_deadline - m_context.now()));
}

/// Destroying the stream makes the exit node cancel the request at its target.
void EntryRequest::cancelAttempt()
{
    if (m_stream) {
        m_context.loadBalancer.onEnded(m_context.now(), m_target->id, SendResult::Cancelled);
        m_stream.reset();
    }
}

// ---- [end] ------------------------------------------------------------------------------------------------------

void EntryRequest::logAttemptEnd(const char *event, const DeliveryResult &end) const
{
    logEvent(LogLevel::Info, event)
        .with("request", m_requestId)
        .with("route", m_route->name)
        .with("service", m_service)
        .with("target", m_target ? m_target->id : std::string())
        .with("reason", reasonName(end.reason))
        .with("outcome", outcomeName(end.outcome))
        .with("target_status", end.status)
        .with("fingerprint", m_fingerprint)
        .with("offered", m_retryState.offered)
        .with("left_ms", toMilliseconds(m_deadline - m_context.now()));
}

void EntryRequest::finish(unsigned status)
{
    m_done = true;
    m_deadlineTimer.cancel();
    // The answers before this one may not be complete, and the caller may still be sending the rest of the body.
    std::string().swap(m_body);
    Headers().swap(m_headers);
    Headers().swap(m_head.headers);
    if (status != 0) {
        m_context.metrics.onAnswer(m_route == nullptr ? RouteKind::Idempotent : m_route->kind, status, m_context.now() - m_arrivedAt);
    }
}

} // namespace Fescuenotch
