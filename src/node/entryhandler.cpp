#include "node/entryhandler.h"

#include "node/entrysession.h"

namespace Fescuenotch {

namespace {

class NodeEntryHandler final : public EntryHandler
{
public:
    explicit NodeEntryHandler(const EntryHandlerDependencies &dependencies)
        : m_core(std::make_shared<EntryCore>(dependencies))
    {
    }

    std::unique_ptr<CallerSession> begin(const CallerRequest &request) override
    {
        return std::make_unique<EntrySession>(m_core, request);
    }

    void onLoad(const std::string &host, const TargetLoad &load) override
    {
        m_core->onLoad(host, load);
    }

    void onLeaving(const std::string &host) override
    {
        m_core->onLeaving(host);
    }

    void onAlive(const std::string &host) override
    {
        m_core->onAlive(host);
    }

    void beginLeaving() override
    {
        m_core->leaving = true;
    }

    std::size_t inFlight() const override
    {
        return m_core->inFlight;
    }

private:
    std::shared_ptr<EntryCore> m_core;
};

} // namespace

std::unique_ptr<EntryHandler> makeEntryHandler(const EntryHandlerDependencies &dependencies)
{
    return std::make_unique<NodeEntryHandler>(dependencies);
}

} // namespace Fescuenotch
