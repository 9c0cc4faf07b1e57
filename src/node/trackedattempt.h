// One attempt of an entry node: the outbound stream of the transport, with its start and end reported to the load
// balancer.
//
// How to use: create one, send the body, then receive events with `wait`. Call exactly one of `finish`, `finishFromEvent`
// and `cancel` when it ends. Destroying an unfinished attempt cancels it at the exit node and reports it as cancelled.
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
    /// Cancels and finishes the attempt. Waits up to 20 ms for the exit node to confirm that the attempt was not started; the
    /// outcome is NotRun with the confirmation, else Unknown.
    AttemptResult cancel(Reason reason);
    /// Reports how the attempt ended to the load balancer, on the first call only. Returns `result`.
    AttemptResult finish(const AttemptResult &result);
    /// Finishes the attempt with the result of an End or LinkLost event, and returns that result.
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
