#include "node/answercollector.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr milliseconds CallerPollInterval{20};
constexpr std::size_t MaxBufferedBytes = 64 * 1024; ///< bytes; longer answers are relayed while they arrive

class Collector
{
public:
    Collector(TrackedAttempt &attempt, const RequestContext &context, const std::function<bool()> &callerLeft, TimePoint headDeadline)
        : m_attempt(attempt)
        , m_context(context)
        , m_callerLeft(callerLeft)
        , m_headDeadline(headDeadline)
    {
    }

    CollectedAnswer run()
    {
        while (!m_done) {
            const auto now = Clock::now();
            if (now >= m_context.deadline) {
                fail(m_attempt.cancel(Reason::DeadlinePassed));
            } else if (now >= m_headDeadline && !m_headSeen) {
                end(CollectedAnswer::Kind::HeadTimedOut);
            } else {
                handleEvent(m_attempt.wait(std::min(m_context.deadline, now + CallerPollInterval)));
            }
        }
        return std::move(m_answer);
    }

private:
    void handleEvent(AttemptEvent event)
    {
        switch (event.kind) {
        case AttemptEvent::Kind::Head:
            m_answer.head = std::move(event.head);
            m_headSeen = true;
            break;
        case AttemptEvent::Kind::Body:
            m_answer.body += event.body;
            if (m_answer.body.size() >= MaxBufferedBytes) {
                end(CollectedAnswer::Kind::Partial);
            }
            break;
        case AttemptEvent::Kind::Timeout:
            if (m_callerLeft && m_callerLeft()) {
                fail(m_attempt.cancel(Reason::Cancelled));
            }
            break;
        case AttemptEvent::Kind::End:
        case AttemptEvent::Kind::LinkLost:
            handleEnd(event);
            break;
        }
    }

    void handleEnd(AttemptEvent event)
    {
        const bool ran = event.kind == AttemptEvent::Kind::End && event.end.outcome == Outcome::Ran && event.end.complete;
        const bool isBodyComplete = m_headSeen && isCompleteBody(m_context, m_answer.head, m_answer.body.size());
        if (ran && !isBodyComplete) {
            event.end.outcome = Outcome::Unknown;
            event.end.reason = Reason::TargetBroke;
        }
        const auto result = m_attempt.finishFromEvent(event);
        if (ran && isBodyComplete) {
            end(CollectedAnswer::Kind::Complete);
        } else {
            fail(result);
        }
    }

    void end(CollectedAnswer::Kind kind)
    {
        m_answer.kind = kind;
        m_done = true;
    }

    void fail(const AttemptResult &result)
    {
        m_answer.result = result;
        end(CollectedAnswer::Kind::Failed);
    }

    TrackedAttempt &m_attempt;
    const RequestContext &m_context;
    const std::function<bool()> &m_callerLeft;
    TimePoint m_headDeadline;
    CollectedAnswer m_answer;
    bool m_headSeen = false;
    bool m_done = false;
};

} // namespace

CollectedAnswer collectAnswer(TrackedAttempt &attempt, const RequestContext &context, const std::function<bool()> &callerLeft, TimePoint headDeadline)
{
    return Collector(attempt, context, callerLeft, headDeadline).run();
}

bool isCompleteBody(const RequestContext &context, const AnswerHead &head, std::uint64_t size)
{
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (context.method == "HEAD" || head.status == NoContent || head.status == NotModified) {
        return true;
    }
    return !head.bodyLength || *head.bodyLength == size;
}

} // namespace Fescuenotch
