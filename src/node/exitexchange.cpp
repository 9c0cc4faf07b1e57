#include "node/exitexchange.h"

#include "node/headernames.h"
#include "node/headervalues.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr unsigned StatusUnavailable = 503;

bool headerEquals(const Headers &headers, const char *name, std::string_view value)
{
    const auto *found = findHeader(headers, name);
    return found != nullptr && *found == value;
}

} // namespace

ExitExchange::ExitExchange(InboundAttempt &attempt, std::function<TargetLoad()> load)
    : m_attempt(attempt)
    , m_load(std::move(load))
{
}

TargetRequest ExitExchange::request(const Endpoint &address) const
{
    const auto &head = m_attempt.head();
    TargetRequest request;
    request.address = address;
    request.method = head.method;
    request.path = head.path;
    request.headers = head.headers;
    request.bodyLength = head.bodyLength;
    request.hasBody = !head.bodyLength || *head.bodyLength != 0;
    request.idempotent = head.idempotent;
    request.deadline = head.deadline;
    const auto remaining = std::chrono::duration_cast<milliseconds>(head.deadline - Clock::now());
    request.headers.push_back({HeaderNames::DeadlineMs, std::to_string(std::max<milliseconds::rep>(1, remaining.count()))});
    request.headers.push_back({HeaderNames::Attempt, toString(head.id)});
    request.headers.push_back({HeaderNames::Depth, std::to_string(head.depth + 1)});
    return request;
}

Reason ExitExchange::abortReason() const
{
    if (m_attempt.cancelled()) {
        return Reason::Cancelled;
    }
    return Clock::now() >= m_attempt.head().deadline ? Reason::DeadlinePassed : Reason::None;
}

bool ExitExchange::mayStart()
{
    m_startRefusal = abortReason();
    return m_startRefusal == Reason::None;
}

std::ptrdiff_t ExitExchange::readBody(std::span<char> buf)
{
    return m_attempt.readBody(buf, m_attempt.head().deadline);
}

bool ExitExchange::onHead(unsigned status, const Headers &headers)
{
    m_retriedBelow = headerEquals(headers, HeaderNames::Retried, "1");
    if (status == StatusUnavailable && headerEquals(headers, HeaderNames::Outcome, "not-run")) {
        m_refusedByTarget = true;
        m_targetDraining = headerEquals(headers, HeaderNames::Draining, "1");
        m_retryAfter = retryAfterOf(headers);
        return true;
    }
    AnswerHead head;
    head.status = status;
    head.headers = headers;
    head.bodyLength = numberHeader(headers, HeaderNames::ContentLength);
    head.load = m_load();
    removeHopByHopHeaders(head.headers);
    removeHeader(head.headers, HeaderNames::ContentLength);
    return m_attempt.sendHead(head);
}

bool ExitExchange::onBody(Bytes piece)
{
    return m_refusedByTarget || m_attempt.sendBody(piece, m_attempt.head().deadline);
}

bool ExitExchange::cancelled()
{
    return abortReason() != Reason::None;
}

/// TargetClient reports Cancelled for every abort by `cancelled`; this distinguishes a passed deadline from a cancellation.
Reason ExitExchange::reasonOf(const TargetResult &result, Reason fallback) const
{
    const auto aborted = abortReason();
    if (result.reason == Reason::Cancelled && aborted != Reason::None) {
        return aborted;
    }
    return result.reason == Reason::None ? fallback : result.reason;
}

AttemptEnd ExitExchange::makeEnd(const TargetResult &result) const
{
    AttemptEnd end;
    end.retriedBelow = m_retriedBelow;
    end.retryAfter = m_retryAfter;
    if (m_refusedByTarget) {
        end.outcome = Outcome::NotRun;
        end.reason = Reason::TargetShed;
    } else if (!result.sent) {
        end.outcome = Outcome::NotRun;
        end.reason = m_startRefusal != Reason::None ? m_startRefusal : reasonOf(result, Reason::ConnectFailed);
    } else if (result.complete) {
        end.outcome = Outcome::Ran;
        end.complete = true;
    } else {
        end.outcome = Outcome::Unknown;
        end.reason = reasonOf(result, Reason::TargetBroke);
    }
    return end;
}

} // namespace Fescuenotch
