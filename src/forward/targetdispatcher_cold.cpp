// The part of the exit node that finds out whether its target is cold, and limits what it gets meanwhile. The decisions are those of
// mesh/coldstart.h.
#include "forward/targetdispatcher.h"

#include "kernel/logging.h"

#include <algorithm>

namespace Fescuenotch {

void TargetDispatcher::setService(const MeshService *service)
{
    ColdStartSettings settings;
    if (service != nullptr) {
        settings = {service->coldStart, service->coldRequestRate, !service->healthPath.empty()};
        m_healthPath = service->healthPath;
    }
    m_cold.configure(m_loop.turnTime(), settings);
    updateColdness();
}

void TargetDispatcher::checkColdness()
{
    m_cold.requestCheck(m_loop.turnTime());
    m_queue.restartRequestRate(m_loop.turnTime());
    updateColdness();
}

/// Requests that reached the process that ended don't count for the one that returns.
void TargetDispatcher::onTargetLost()
{
    if (!m_cold.isEnabled()) {
        return;
    }
    m_cold.onLost(m_loop.turnTime());
    m_queue.restartRequestRate(m_loop.turnTime());
    updateColdness();
}

void TargetDispatcher::onColdnessAnswer(const std::string &route, Duration serviceTime)
{
    if (m_cold.onAnswer(m_loop.turnTime(), route, serviceTime)) {
        updateColdness();
    }
}

std::optional<double> TargetDispatcher::coldRate() const
{
    return m_cold.rate(m_loop.turnTime());
}

std::optional<double> TargetDispatcher::rateInForce() const
{
    const auto stated = m_statedRate.perSecond();
    const auto cold = coldRate();
    return stated && cold ? std::min(*stated, *cold) : stated ? stated : cold;
}

Reason TargetDispatcher::rateReason() const
{
    const auto stated = m_statedRate.perSecond();
    const auto cold = coldRate();
    return cold && (!stated || *cold <= *stated) ? Reason::TargetCold : Reason::TargetLimit;
}

void TargetDispatcher::updateColdness()
{
    if (!m_cold.isEnabled() && !m_coldRateLogged) {
        return;
    }
    const auto now = m_loop.turnTime();
    logColdness(coldRate());
    if (coldRate()) { // requests of this turn and a probe must count already
        m_queue.limitRequestRate(now, *rateInForce(), rateReason());
    }
    applyRequestRate();
    if (m_cold.isProbeDue(now) && !m_leaving) {
        sendHealthProbe();
    }
    const auto next = m_cold.nextChange(now);
    if (next == TimePoint::max()) {
        m_coldTimer.cancel();
        return;
    }
    m_coldTimer.start(m_loop.timers(), next - now + milliseconds(1), [this](TimePoint) { updateColdness(); });
}

void TargetDispatcher::logColdness(std::optional<double> rate)
{
    if (rate == m_coldRateLogged) {
        return;
    }
    m_coldRateLogged = rate;
    const auto left = m_cold.nextChange(m_loop.turnTime());
    const auto known = rate && left != TimePoint::max();
    logEvent(LogLevel::Info, "target_cold")
        .with("target", m_targetId)
        .with("change", rate ? "begin" : "end")
        .with("per_second", requestRateText(rate))
        .with("source", coldSourceName(m_cold.source()))
        .with("next_check_ms", known ? std::chrono::duration_cast<milliseconds>(left - m_loop.turnTime()).count() : 0)
        .with("running", m_queue.running())
        .with("waiting", m_queue.waiting());
}

void TargetDispatcher::sendHealthProbe()
{
    m_cold.onProbeSent(m_loop.turnTime());
    m_queue.onResent(m_loop.turnTime());
    m_healthProbes.add();
    m_connections.add();
    m_healthProbe = std::make_unique<HealthProbe>(
        m_loop, m_settings.targetAddress, m_healthPath, m_adapter.headers(), [this](const HealthAnswer &answer) { endHealthProbe(answer); });
}

void TargetDispatcher::endHealthProbe(const HealthAnswer &answer)
{
    if (answer.connectFailed) {
        onTargetLost();
    }
    m_loop.destroyLater(std::move(m_healthProbe));
    if (answer.coldRemaining) {
        m_cold.onProbeAnswer(m_loop.turnTime(), *answer.coldRemaining);
    } else {
        m_cold.onProbeFailed(m_loop.turnTime());
    }
    logEvent(LogLevel::Info, "health_probe")
        .with("target", m_targetId)
        .with("answered_by", answer.targetId)
        .with("cold_ms", answer.coldRemaining ? answer.coldRemaining->count() : -1)
        .with("detail", answer.detail);
    updateColdness();
}

} // namespace Fescuenotch
