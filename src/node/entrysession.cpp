// Index: request context, body, attempts, answers.
#include "node/entrysession.h"

#include "node/answerstream.h"
#include "node/headernames.h"
#include "node/headervalues.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxBufferedBodyBytes = 256 * 1024; ///< bytes; longer bodies are streamed to a single attempt
constexpr milliseconds MaxViewWait{250}; ///< for a trusted membership view after a pause of this process
constexpr milliseconds ViewPollInterval{5};
constexpr milliseconds MinHeadTimeout{50}; ///< shortest time for an attempt before it is given up for a retry
constexpr unsigned MaxCallDepth = 64; ///< a deeper call tree is considered a loop, and the request is refused

unsigned httpStatusOf(const Refusal &refusal)
{
    switch (refusal.reason) {
    case Reason::NoRoute:
        return 404;
    case Reason::BadRequest:
        return 400;
    case Reason::TooLarge:
        return 413;
    case Reason::QueueFull:
    case Reason::WaitTooLong:
    case Reason::ClassLimit:
        return refusal.outcome == Outcome::NotRun ? 429 : 502;
    case Reason::DeadlinePassed:
        return refusal.outcome == Outcome::NotRun ? 503 : 504;
    default:
        return refusal.outcome == Outcome::NotRun ? 503 : 502;
    }
}

/// Removes headers that are meant for this node or that the nodes set again towards the target.
void removeNodeHeaders(Headers &headers)
{
    for (const char *name : {HeaderNames::DeadlineMs, HeaderNames::Attempt, HeaderNames::Depth, HeaderNames::RetriesLeft, HeaderNames::ContentLength}) {
        removeHeader(headers, name);
    }
}

} // namespace

// ---- Request context --------------------------------------------------------------------------------------------

EntrySession::EntrySession(std::shared_ptr<EntryCore> core, const CallerRequest &request)
    : m_guard(core)
    , m_core(std::move(core))
    , m_context(std::make_shared<RequestContext>())
    , m_declaredLength(request.hasBody ? request.bodyLength : std::optional<std::uint64_t>(0))
{
    initializeContext(request);
    if (!m_refusal) {
        m_core->onRequest(*m_context);
    }
}

void EntrySession::initializeContext(const CallerRequest &request)
{
    m_context->arrived = request.arrived;
    m_context->snapshot = m_core->dependencies().inForce->current();
    if (!m_context->snapshot) {
        refuse(Reason::NoProfile);
        return;
    }
    if (m_core->leaving) {
        refuse(Reason::Leaving);
        return;
    }
    const auto match = matchRoute(*m_context->snapshot, request.method, request.path);
    if (!match) {
        refuse(Reason::NoRoute);
        return;
    }
    m_context->serviceName = match->route->service;
    m_context->service = match->service;
    m_context->rule = *match->rule;
    m_context->method = request.method;
    m_context->path = request.path;
    m_context->headers = request.headers;
    if (!readRequestLimits(request)) {
        return;
    }
    removeNodeHeaders(m_context->headers);
    m_context->headers.push_back({HeaderNames::RetriesLeft, std::to_string(m_context->rule.maxAttempts - 1)});
}

bool EntrySession::readRequestLimits(const CallerRequest &request)
{
    m_context->deadline = request.arrived + m_context->rule.timeout;
    if (findHeader(request.headers, HeaderNames::DeadlineMs) != nullptr) {
        const auto remaining = numberHeader(request.headers, HeaderNames::DeadlineMs);
        if (!remaining) {
            return refuse(Reason::BadRequest);
        }
        const auto maxTimeoutMs = static_cast<std::uint64_t>(m_context->rule.timeout.count());
        m_context->deadline = request.arrived + milliseconds(static_cast<milliseconds::rep>(std::min(*remaining, maxTimeoutMs)));
    }
    m_context->depth = static_cast<unsigned>(std::min<std::uint64_t>(numberHeader(request.headers, HeaderNames::Depth).value_or(0), MaxCallDepth));
    m_state.depth = m_context->depth;
    const auto retriesLeft = numberHeader(request.headers, HeaderNames::RetriesLeft);
    if (retriesLeft && *retriesLeft + 1 < m_context->rule.maxAttempts) {
        m_context->rule.maxAttempts = static_cast<unsigned>(*retriesLeft) + 1;
    }
    return m_context->depth < MaxCallDepth || refuse(Reason::BadRequest);
}

bool EntrySession::refuse(Reason reason, Outcome outcome)
{
    m_refusal = Refusal{outcome, reason, milliseconds(1'000)};
    return false;
}

bool EntrySession::waitForTrustedView() const
{
    const auto &trusted = m_core->dependencies().viewTrusted;
    const auto until = std::min(m_context->deadline, Clock::now() + MaxViewWait);
    while (trusted && !trusted()) {
        if (Clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(ViewPollInterval);
    }
    return true;
}

// ---- Body -------------------------------------------------------------------------------------------------------

bool EntrySession::onBody(Bytes piece)
{
    if (m_refusal || !m_streamOpen) {
        return false;
    }
    if (!m_streaming && m_body.size() + piece.size() <= MaxBufferedBodyBytes) {
        m_body.append(piece.data(), piece.size());
        return true;
    }
    if (!m_streaming && !startStreaming()) {
        return false;
    }
    m_streamOpen = m_streamOpen && m_attempt->sendBody(piece);
    return m_streamOpen;
}

bool EntrySession::startStreaming()
{
    m_streaming = true;
    m_context->rule.maxAttempts = 1;
    if (!openAttempt(m_declaredLength)) {
        return false;
    }
    m_streamOpen = m_attempt->sendBody(m_body);
    m_body = {};
    return true;
}

// ---- Attempts ---------------------------------------------------------------------------------------------------

CallerResponse EntrySession::respond(const std::function<bool()> &callerLeft)
{
    auto response = m_refusal ? makeRefusalResponse(*m_refusal) : runAttempts(callerLeft);
    const auto *outcome = findHeader(response.headers, HeaderNames::Outcome);
    for (const auto each : {Outcome::Ran, Outcome::NotRun, Outcome::Unknown}) {
        if (outcome != nullptr && *outcome == outcomeName(each)) {
            m_core->metrics().onAnswer(m_context->rule.requestClass, each, Clock::now() - m_context->arrived);
        }
    }
    return response;
}

bool EntrySession::openAttempt(std::optional<std::uint64_t> bodyLength)
{
    if (!waitForTrustedView()) {
        return refuse(Reason::ViewNotTrusted);
    }
    const auto chosen = m_core->choose(*m_context, m_triedHosts);
    if (!chosen) {
        return refuse(Reason::NoTarget, m_state.mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
    }
    m_triedHosts.push_back(chosen->target.host);
    m_attempt = std::make_unique<TrackedAttempt>(m_core, m_context, *chosen, bodyLength, m_context->headers);
    return true;
}

CollectedAnswer EntrySession::runAttempt(const std::function<bool()> &callerLeft)
{
    if (!m_streaming) {
        m_streamOpen = m_attempt->sendBody(m_body);
    }
    if (m_streamOpen) {
        m_attempt->finishBody();
    }
    auto collected = collectAnswer(*m_attempt, *m_context, callerLeft, headDeadline());
    return collected.kind == CollectedAnswer::Kind::HeadTimedOut ? handleHeadTimeout(callerLeft) : std::move(collected);
}

TimePoint EntrySession::headDeadline() const
{
    if (!m_context->rule.idempotent || m_state.attempts + 1 >= m_context->rule.maxAttempts) {
        return TimePoint::max();
    }
    const auto now = Clock::now();
    return now + std::max<Duration>((m_context->deadline - now) / 2, MinHeadTimeout);
}

CollectedAnswer EntrySession::handleHeadTimeout(const std::function<bool()> &callerLeft)
{
    AttemptResult timedOut;
    timedOut.reason = Reason::DeadlinePassed;
    auto state = m_state;
    const auto decision = m_core->afterFailure(*m_context, timedOut, state);
    if (!decision.retry) {
        return collectAnswer(*m_attempt, *m_context, callerLeft);
    }
    m_state = state;
    m_earlyRetry = decision;
    CollectedAnswer failed;
    failed.result = m_attempt->finish(timedOut);
    return failed;
}

CallerResponse EntrySession::runAttempts(const std::function<bool()> &callerLeft)
{
    while (true) {
        if (!m_streaming && !openAttempt(m_body.size())) {
            return makeRefusalResponse(*m_refusal);
        }
        auto collected = runAttempt(callerLeft);
        if (collected.kind != CollectedAnswer::Kind::Failed) {
            return makeResponse(std::move(collected));
        }
        const auto &result = collected.result;
        const auto decision = m_earlyRetry ? *m_earlyRetry : m_core->afterFailure(*m_context, result, m_state);
        m_earlyRetry.reset();
        if (!decision.retry) {
            const auto reason = result.reason == Reason::None ? decision.reason : result.reason;
            return makeRefusalResponse({decision.outcome, reason, decision.retryAfter});
        }
        if (!waitForBackoff(decision.delay, callerLeft)) {
            return makeRefusalResponse({m_state.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, Reason::Cancelled, decision.retryAfter});
        }
    }
}

bool EntrySession::waitForBackoff(Duration delay, const std::function<bool()> &callerLeft) const
{
    constexpr milliseconds MaxSleep{20};
    const auto until = Clock::now() + delay;
    for (auto now = Clock::now(); now < until; now = Clock::now()) {
        std::this_thread::sleep_for(std::min<Duration>(until - now, MaxSleep));
        if (callerLeft && callerLeft()) {
            return false;
        }
    }
    return true;
}

// ---- Answers ----------------------------------------------------------------------------------------------------

std::string EntrySession::revisionText() const
{
    return m_context->snapshot ? toString(m_context->snapshot->version) : std::string();
}

CallerResponse EntrySession::makeResponse(CollectedAnswer collected)
{
    CallerResponse response;
    response.status = collected.head.status;
    response.bodyLength = collected.head.bodyLength;
    response.headers = collected.head.headers;
    for (const char *name : {HeaderNames::ContentLength, HeaderNames::Outcome, HeaderNames::Revision}) {
        removeHeader(response.headers, name);
    }
    response.headers.push_back({HeaderNames::Outcome, outcomeName(Outcome::Ran)});
    response.headers.push_back({HeaderNames::Revision, revisionText()});
    if (collected.kind == CollectedAnswer::Kind::Complete) {
        response.text = std::move(collected.body);
        if (m_context->method != "HEAD") {
            response.bodyLength = response.text.size();
        }
        return response;
    }
    response.body = std::make_unique<AnswerStream>(m_core, m_context, std::move(m_attempt), std::move(collected), m_state, m_triedHosts);
    return response;
}

CallerResponse EntrySession::makeRefusalResponse(const Refusal &refusal)
{
    m_core->metrics().onRefusal(refusal.reason);
    if (refusal.reason == Reason::Cancelled) {
        m_core->metrics().callersLeft.add();
    }
    CallerResponse response;
    response.status = httpStatusOf(refusal);
    const auto wait = std::max<seconds::rep>(1, std::chrono::ceil<seconds>(refusal.retryAfter).count());
    response.headers = {{"Content-Type", "application/json"},
                        {HeaderNames::Outcome, outcomeName(refusal.outcome)},
                        {HeaderNames::RetryAfter, std::to_string(wait)},
                        {HeaderNames::Retried, "1"}};
    if (m_context->snapshot) {
        response.headers.push_back({HeaderNames::Revision, revisionText()});
    }
    const nlohmann::ordered_json body{{"reason", reasonName(refusal.reason)}, {"remedy", reasonRemedy(refusal.reason)}};
    response.text = body.dump() + "\n";
    response.bodyLength = response.text.size();
    return response;
}

} // namespace Fescuenotch
