#include "node/exithandler.h"

#include "node/exitcore.h"

namespace Fescuenotch {

namespace {

constexpr milliseconds TickInterval{10}; ///< between checks of the deadlines of queued attempts

class NodeExitHandler final : public ExitHandler
{
public:
    explicit NodeExitHandler(const ExitHandlerDependencies &dependencies)
        : m_core(std::make_shared<ExitCore>(dependencies))
        , m_timers(dependencies.timers)
    {
        registerGauges(*dependencies.metrics);
        m_timer = m_timers->every(TickInterval, [weak = std::weak_ptr(m_core)](TimePoint now) {
            if (const auto core = weak.lock()) {
                core->tick(now);
            }
        });
    }

    ~NodeExitHandler() override
    {
        m_timers->cancel(m_timer);
        m_core->stop();
    }

    void onAttempt(std::shared_ptr<InboundAttempt> attempt) override
    {
        m_core->offer(std::move(attempt));
    }

    void configure(const TargetEntry &target) override
    {
        m_core->configure(target);
    }

    void onWake(TimePoint now) override
    {
        m_core->tick(now);
    }

    void beginLeaving() override
    {
        m_core->leaving = true;
    }

    TargetLoad load() const override
    {
        return m_core->load();
    }

    std::size_t inFlight() const override
    {
        return m_core->inFlight;
    }

    void stop() override
    {
        m_core->stop();
    }

private:
    void registerGauges(MetricsRegistry &metrics) const
    {
        const auto gauge = [&](const char *name, const char *help, unsigned TargetLoad::*field) {
            metrics.gauge(name, help, {}, [core = m_core, field] { return static_cast<double>(core->load().*field); });
        };
        gauge("fescuenotch_slots_in_use", "Slots of the target that are in use.", &TargetLoad::inUse);
        gauge("fescuenotch_slots_limit", "Slots of the target that may be used now.", &TargetLoad::slots);
        gauge("fescuenotch_queue_length", "Attempts that wait for a slot.", &TargetLoad::queued);
    }

    std::shared_ptr<ExitCore> m_core;
    TimerService *m_timers;
    TimerId m_timer = 0;
};

} // namespace

std::unique_ptr<ExitHandler> makeExitHandler(const ExitHandlerDependencies &dependencies)
{
    return std::make_unique<NodeExitHandler>(dependencies);
}

} // namespace Fescuenotch
