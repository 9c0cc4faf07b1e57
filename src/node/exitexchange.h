// One exchange with the target of an exit node: relays an inbound attempt and determines its outcome.
//
// How to use: create one per attempt, pass it to TargetClient::exchange with `request`, then call `makeEnd` with the result.
// The outcome is NotRun only if the request was not sent or the target itself refused it (503 with the outcome header
// not-run); Ran if the answer is complete; Unknown otherwise.
#pragma once

#include "plugins/interfaces.h"

#include <functional>

namespace Fescuenotch {

class ExitExchange final : public TargetSink
{
public:
    /// `load` is called when the head of the answer is sent.
    ExitExchange(InboundAttempt &attempt, std::function<TargetLoad()> load);
    TargetRequest request(const Endpoint &address) const;
    AttemptEnd makeEnd(const TargetResult &result) const;

    bool mayStart() override;
    std::ptrdiff_t readBody(std::span<char> buf) override;
    bool onHead(unsigned status, const Headers &headers) override;
    bool onBody(Bytes piece) override;
    bool cancelled() override;

    bool targetShed() const ///< the target refused the request without executing it
    {
        return m_refusedByTarget;
    }
    bool targetDraining() const
    {
        return m_targetDraining;
    }

private:
    Reason abortReason() const;
    Reason reasonOf(const TargetResult &result, Reason fallback) const;

    InboundAttempt &m_attempt;
    std::function<TargetLoad()> m_load;
    Reason m_startRefusal = Reason::None; ///< why `mayStart` returned false
    bool m_refusedByTarget = false;
    bool m_targetDraining = false;
    bool m_retriedBelow = false;
    milliseconds m_retryAfter{0}; ///< ms; from the target's refusal
};

} // namespace Fescuenotch
