#include "node/answercollector.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr milliseconds CallerPollPeriod{20};
constexpr std::size_t CollectedBytes = 64 * 1024; ///< bytes; longer answers are relayed as they come

class Collector
{
public:
    Collector(TrackedAttempt &attempt, const RequestContext &context, const std::function<bool()> &callerLeft, TimePoint patience)
        : m_attempt(attempt)
        , m_context(context)
        , m_callerLeft(callerLeft)
        , m_patience(patience)
    {
    }

    CollectedAnswer run()
    {
        while (!m_done) {
            const auto now = Clock::now();
            if (now >= m_context.deadline) {
                fail(m_attempt.cancel(Reason::DeadlinePassed));
            } else if (now >= m_patience && !m_headSeen) {
                end(CollectedAnswer::Kind::Slow);
            } else {
                take(m_attempt.wait(std::min(m_context.deadline, now + CallerPollPeriod)));
            }
        }
        return std::move(m_answer);
    }

private:
    void take(AttemptEvent event)
    {
        switch (event.kind) {
        case AttemptEvent::Kind::Head:
            m_answer.head = std::move(event.head);
            m_headSeen = true;
            break;
        case AttemptEvent::Kind::Body:
            m_answer.body += event.body;
            if (m_answer.body.size() >= CollectedBytes) {
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
            takeEnd(event);
            break;
        }
    }

    void takeEnd(AttemptEvent event)
    {
        const bool ran = event.kind == AttemptEvent::Kind::End && event.end.outcome == Outcome::Ran && event.end.complete;
        const bool isWhole = m_headSeen && isWholeBody(m_context, m_answer.head, m_answer.body.size());
        if (ran && !isWhole) {
            event.end.outcome = Outcome::Unknown;
            event.end.reason = Reason::TargetBroke;
        }
        const auto result = m_attempt.finishBy(event);
        if (ran && isWhole) {
            end(CollectedAnswer::Kind::Whole);
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
    TimePoint m_patience;
    CollectedAnswer m_answer;
    bool m_headSeen = false;
    bool m_done = false;
};

} // namespace

CollectedAnswer collectAnswer(TrackedAttempt &attempt, const RequestContext &context, const std::function<bool()> &callerLeft, TimePoint patience)
{
    return Collector(attempt, context, callerLeft, patience).run();
}

bool isWholeBody(const RequestContext &context, const AnswerHead &head, std::uint64_t size)
{
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (context.method == "HEAD" || head.status == NoContent || head.status == NotModified) {
        return true;
    }
    return !head.bodyLength || *head.bodyLength == size;
}

} // namespace Fescuenotch
