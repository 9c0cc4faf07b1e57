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

/// The strong ETag of an answer; null if it has none or a weak one.
const std::string *strongETag(const AnswerHead &head)
{
    const auto *etag = findHeader(head.headers, HeaderNames::EntityTag);
    return etag != nullptr && etag->starts_with('"') ? etag : nullptr;
}

bool isResumable(const RequestContext &context, const AnswerHead &head)
{
    return context.rule.idempotent && context.method == "GET" && head.status == StatusOk && strongETag(head) != nullptr
        && findHeader(context.headers, HeaderNames::Range) == nullptr;
}

} // namespace

AnswerStream::AnswerStream(std::shared_ptr<EntryCore> core,
                           std::shared_ptr<const RequestContext> context,
                           std::unique_ptr<TrackedAttempt> attempt,
                           CollectedAnswer answer,
                           const RetryState &state,
                           std::vector<std::string> triedHosts)
    : m_guard(core)
    , m_core(std::move(core))
    , m_context(std::move(context))
    , m_attempt(std::move(attempt))
    , m_head(std::move(answer.head))
    , m_state(state)
    , m_triedHosts(std::move(triedHosts))
    , m_chunk(std::move(answer.body))
    , m_received(m_chunk.size())
{
}

std::ptrdiff_t AnswerStream::read(std::span<char> buf)
{
    while (m_chunkOffset == m_chunk.size()) {
        if (m_ended) {
            return 0;
        }
        if (m_broken || !receiveChunk()) {
            return m_ended ? 0 : -1;
        }
    }
    return copyFromChunk(buf);
}

std::ptrdiff_t AnswerStream::copyFromChunk(std::span<char> buf)
{
    const auto size = std::min(buf.size(), m_chunk.size() - m_chunkOffset);
    std::memcpy(buf.data(), m_chunk.data() + m_chunkOffset, size);
    m_chunkOffset += size;
    return static_cast<std::ptrdiff_t>(size);
}

bool AnswerStream::receiveChunk()
{
    auto event = m_attempt->wait(m_context->deadline);
    switch (event.kind) {
    case AttemptEvent::Kind::Body:
        m_chunk = std::move(event.body);
        m_chunkOffset = 0;
        m_received += m_chunk.size();
        return true;
    case AttemptEvent::Kind::Head:
        return true;
    case AttemptEvent::Kind::Timeout:
        return resumeOrFail(m_attempt->cancel(Reason::DeadlinePassed));
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
        m_attempt->finishFromEvent(event);
        m_ended = true;
        return false;
    }
    event.end.outcome = Outcome::Unknown;
    return resumeOrFail(m_attempt->finishFromEvent(event));
}

bool AnswerStream::resumeOrFail(const AttemptResult &result)
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
        if (!openRangeAttempt()) {
            return false;
        }
        auto remainder = collectAnswer(*m_attempt, *m_context, {});
        if (remainder.kind == CollectedAnswer::Kind::Failed) {
            last = remainder.result;
            continue;
        }
        if (!isMatchingRemainder(remainder.head)) {
            return false;
        }
        m_received += remainder.body.size();
        m_chunk = std::move(remainder.body);
        m_chunkOffset = 0;
        m_ended = remainder.kind == CollectedAnswer::Kind::Complete;
        return !m_ended || isCompleteBody(*m_context, m_head, m_received);
    }
}

bool AnswerStream::openRangeAttempt()
{
    const auto chosen = m_core->choose(*m_context, m_triedHosts);
    if (!chosen) {
        return false;
    }
    m_triedHosts.push_back(chosen->target.host);
    auto headers = m_context->headers;
    removeHeader(headers, HeaderNames::IfRange);
    headers.push_back({HeaderNames::Range, "bytes=" + std::to_string(m_received) + "-"});
    headers.push_back({HeaderNames::IfRange, *strongETag(m_head)});
    m_attempt = std::make_unique<TrackedAttempt>(m_core, m_context, *chosen, 0, headers);
    m_attempt->finishBody();
    return true;
}

bool AnswerStream::isMatchingRemainder(const AnswerHead &remainder) const
{
    const auto *etag = strongETag(remainder);
    const auto *range = findHeader(remainder.headers, HeaderNames::ContentRange);
    if (remainder.status != StatusPartialContent || etag == nullptr || range == nullptr || *etag != *strongETag(m_head)) {
        return false;
    }
    const std::string start = "bytes " + std::to_string(m_received) + "-";
    const std::string end = m_head.bodyLength ? "/" + std::to_string(*m_head.bodyLength) : "";
    return range->starts_with(start) && range->ends_with(end);
}

} // namespace Fescuenotch
