// One exchange of an exit node with its target: relays an inbound attempt and works out its outcome.
//
// How to use: make one per attempt, pass it to TargetClient::exchange, then ask `conclude` for the attempt's end.
#pragma once

#include "plugins/interfaces.h"

#include <functional>

namespace Fescuenotch {

class ExitExchange final : public TargetSink
{
public:
    /// `load` is asked when the head of the answer goes out.
    ExitExchange(InboundAttempt &attempt, std::function<TargetLoad()> load);
    TargetRequest request(const Endpoint &address) const;
    AttemptEnd makeEnd(const TargetResult &result) const;

    bool mayStart() override;
    std::ptrdiff_t readBody(std::span<char> buf) override;
    bool onHead(unsigned status, const Headers &headers) override;
    bool onBody(Bytes piece) override;
    bool cancelled() override;

    bool targetShed() const ///< the target refused before starting
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
    Reason m_startRefusal = Reason::None; ///< why mayStart said no
    bool m_refusedByTarget = false;
    bool m_targetDraining = false;
    bool m_retriedBelow = false;
    milliseconds m_retryAfter{0}; ///< ms; told by the target
};

} // namespace Fescuenotch
