#include "node/answerstream.h"

#include "node/headernames.h"
#include "node/headervalues.h"

#include <algorithm>
#include <cstring>
#include <thread>

namespace Fescuenotch {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusPartialContent = 206;

/// The strong ETag of an answer, or nullptr.
const std::string *strongTagOf(const AnswerHead &head)
{
    const auto *tag = findHeader(head.headers, HeaderNames::EntityTag);
    return tag != nullptr && tag->starts_with('"') ? tag : nullptr;
}

bool isResumable(const RequestContext &context, const AnswerHead &head)
{
    return context.rule.idempotent && context.method == "GET" && head.status == StatusOk && strongTagOf(head) != nullptr
        && findHeader(context.headers, HeaderNames::Range) == nullptr;
}

} // namespace

AnswerStream::AnswerStream(std::shared_ptr<EntryCore> core,
                           std::shared_ptr<const RequestContext> context,
                           std::unique_ptr<TrackedAttempt> attempt,
                           CollectedAnswer answer,
                           const RetryState &state,
                           std::vector<std::string> tried)
    : m_guard(core)
    , m_core(std::move(core))
    , m_context(std::move(context))
    , m_attempt(std::move(attempt))
    , m_head(std::move(answer.head))
    , m_state(state)
    , m_tried(std::move(tried))
    , m_piece(std::move(answer.body))
    , m_received(m_piece.size())
{
}

std::ptrdiff_t AnswerStream::read(std::span<char> buf)
{
    while (m_served == m_piece.size()) {
        if (m_ended) {
            return 0;
        }
        if (m_broken || !fetch()) {
            return m_ended ? 0 : -1;
        }
    }
    return serve(buf);
}

std::ptrdiff_t AnswerStream::serve(std::span<char> buf)
{
    const auto size = std::min(buf.size(), m_piece.size() - m_served);
    std::memcpy(buf.data(), m_piece.data() + m_served, size);
    m_served += size;
    return static_cast<std::ptrdiff_t>(size);
}

bool AnswerStream::fetch()
{
    auto event = m_attempt->wait(m_context->deadline);
    switch (event.kind) {
    case AttemptEvent::Kind::Body:
        m_piece = std::move(event.body);
        m_served = 0;
        m_received += m_piece.size();
        return true;
    case AttemptEvent::Kind::Head:
        return true;
    case AttemptEvent::Kind::Timeout:
        return resumeOrBreak(m_attempt->cancel(Reason::DeadlinePassed));
    case AttemptEvent::Kind::End:
    case AttemptEvent::Kind::LinkLost:
        break;
    }
    return handleEnd(std::move(event));
}

bool AnswerStream::handleEnd(AttemptEvent event)
{
    const bool isComplete = event.kind == AttemptEvent::Kind::End && event.end.outcome == Outcome::Ran && event.end.complete;
    if (isComplete && isCompleteBody(*m_context, m_head, m_received)) {
        m_attempt->finishBy(event);
        m_ended = true;
        return false;
    }
    event.end.outcome = Outcome::Unknown;
    return resumeOrBreak(m_attempt->finishBy(event));
}

bool AnswerStream::resumeOrBreak(const AttemptResult &result)
{
    if (isResumable(*m_context, m_head) && resume(result)) {
        m_core->metrics().bodiesResumed.add();
        return true;
    }
    m_core->metrics().bodiesBroken.add();
    logEvent(LogLevel::Warning, "answer_body_broken")
        .with("service", m_context->serviceName)
        .with("target", m_attempt->host())
        .with("reason", reasonName(result.reason));
    m_broken = true;
    return false;
}

bool AnswerStream::resume(const AttemptResult &result)
{
    auto last = result;
    while (true) {
        const auto decision = m_core->afterFailure(*m_context, last, m_state);
        if (!decision.retry) {
            return false;
        }
        std::this_thread::sleep_for(decision.delay);
        if (!openRest()) {
            return false;
        }
        auto rest = collectAnswer(*m_attempt, *m_context, {});
        if (rest.kind == CollectedAnswer::Kind::Failed) {
            last = rest.result;
            continue;
        }
        if (!continues(rest.head)) {
            return false;
        }
        m_received += rest.body.size();
        m_piece = std::move(rest.body);
        m_served = 0;
        m_ended = rest.kind == CollectedAnswer::Kind::Complete;
        return !m_ended || isCompleteBody(*m_context, m_head, m_received);
    }
}

bool AnswerStream::openRest()
{
    const auto chosen = m_core->choose(*m_context, m_tried);
    if (!chosen) {
        return false;
    }
    m_tried.push_back(chosen->target.host);
    auto headers = m_context->headers;
    removeHeader(headers, HeaderNames::IfRange);
    headers.push_back({HeaderNames::Range, "bytes=" + std::to_string(m_received) + "-"});
    headers.push_back({HeaderNames::IfRange, *strongTagOf(m_head)});
    m_attempt = std::make_unique<TrackedAttempt>(m_core, m_context, *chosen, 0, headers);
    m_attempt->finishBody();
    return true;
}

bool AnswerStream::continues(const AnswerHead &rest) const
{
    const auto *tag = strongTagOf(rest);
    const auto *range = findHeader(rest.headers, HeaderNames::ContentRange);
    if (rest.status != StatusPartialContent || tag == nullptr || range == nullptr || *tag != *strongTagOf(m_head)) {
        return false;
    }
    const std::string start = "bytes " + std::to_string(m_received) + "-";
    const std::string end = m_head.bodyLength ? "/" + std::to_string(*m_head.bodyLength) : "";
    return range->starts_with(start) && range->ends_with(end);
}

} // namespace Fescuenotch
