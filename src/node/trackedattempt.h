// One attempt of an entry node: the transport's stream together with its place in the chooser's books.
//
// How to use: open one, feed the body, then take events with `wait`. Call `finish` once with how it ended; an attempt
// that is dropped before counts as cancelled, and the drop cancels it at the exit node.
#pragma once

#include "node/entrycore.h"

namespace Fescuenotch {

class TrackedAttempt
{
public:
    TrackedAttempt(std::shared_ptr<EntryCore> core,
                   std::shared_ptr<const RequestContext> context,
                   const ChosenTarget &chosen,
                   std::optional<std::uint64_t> bodyLength,
                   const Headers &headers);
    TrackedAttempt(const TrackedAttempt &) = delete;
    TrackedAttempt &operator=(const TrackedAttempt &) = delete;
    ~TrackedAttempt();

    bool sendBody(Bytes piece);
    bool finishBody();
    AttemptEvent wait(TimePoint until);
    /// Cancels, and gives the exit node a moment to confirm that it had not started; then finishes the attempt.
    AttemptResult cancel(Reason reason);
    /// Takes how the attempt ended and hands it to the chooser.
    AttemptResult finish(const AttemptResult &result);
    /// The result that an End or LinkLost event says, finished.
    AttemptResult finishFromEvent(const AttemptEvent &event);

    const std::string &host() const
    {
        return m_host;
    }

private:
    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<const RequestContext> m_context;
    std::string m_host;
    std::unique_ptr<OutboundAttempt> m_outbound;
    bool m_finished = false;
};

} // namespace Fescuenotch
