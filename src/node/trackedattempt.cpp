#include "node/trackedattempt.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr milliseconds CancelConfirmTimeout{20}; ///< for the confirmation of the exit node that the attempt was not started
constexpr std::size_t MaxChunkBytes = 64 * 1024; ///< bytes; larger bodies are sent in several chunks

AttemptResult resultOf(const AttemptEvent &event)
{
    if (event.kind == AttemptEvent::Kind::LinkLost) {
        AttemptResult result;
        result.outcome = event.anythingSent ? Outcome::Unknown : Outcome::NotRun;
        result.reason = Reason::LinkLost;
        return result;
    }
    const auto &end = event.end;
    AttemptResult result{end.outcome, end.reason, false, end.retriedBelow, end.retryAfter, end.load};
    if (result.outcome == Outcome::Ran && !end.complete) {
        result.outcome = Outcome::Unknown;
    }
    if (result.outcome != Outcome::Ran && result.reason == Reason::None) {
        result.reason = Reason::TargetBroke;
    }
    return result;
}

} // namespace

TrackedAttempt::TrackedAttempt(std::shared_ptr<EntryCore> core,
                               std::shared_ptr<const RequestContext> context,
                               const ChosenTarget &chosen,
                               std::optional<std::uint64_t> bodyLength,
                               const Headers &headers)
    : m_core(std::move(core))
    , m_context(std::move(context))
    , m_host(chosen.target.host)
    , m_outbound(m_core->open(*m_context, chosen, bodyLength, headers))
{
}

TrackedAttempt::~TrackedAttempt()
{
    if (!m_finished) {
        m_outbound->cancel();
        AttemptResult result;
        result.reason = Reason::Cancelled;
        finish(result);
    }
}

bool TrackedAttempt::sendBody(Bytes piece)
{
    while (!piece.empty()) {
        const auto size = std::min(piece.size(), MaxChunkBytes);
        if (!m_outbound->sendBody(piece.first(size), m_context->deadline)) {
            return false;
        }
        piece = piece.subspan(size);
    }
    return true;
}

bool TrackedAttempt::finishBody()
{
    return m_outbound->finishBody();
}

AttemptEvent TrackedAttempt::wait(TimePoint until)
{
    return m_outbound->wait(until);
}

AttemptResult TrackedAttempt::cancel(Reason reason)
{
    m_outbound->cancel();
    AttemptResult result;
    result.reason = reason;
    const auto until = Clock::now() + CancelConfirmTimeout;
    while (true) {
        const auto event = m_outbound->wait(until);
        if (event.kind == AttemptEvent::Kind::Head) {
            m_core->metrics().lateAnswers.add();
        } else if (event.kind == AttemptEvent::Kind::End || event.kind == AttemptEvent::Kind::LinkLost) {
            const auto last = resultOf(event);
            result.outcome = last.outcome == Outcome::NotRun ? Outcome::NotRun : Outcome::Unknown;
            result.load = last.load;
            break;
        } else if (event.kind == AttemptEvent::Kind::Timeout) {
            break;
        }
    }
    return finish(result);
}

AttemptResult TrackedAttempt::finish(const AttemptResult &result)
{
    if (!m_finished) {
        m_finished = true;
        m_core->onAttemptEnd(*m_context, m_host, result);
    }
    return result;
}

AttemptResult TrackedAttempt::finishFromEvent(const AttemptEvent &event)
{
    return finish(resultOf(event));
}

} // namespace Fescuenotch
