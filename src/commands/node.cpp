// fescuenotch node: runs one node until SIGTERM, SIGINT or SIGHUP; with an adapter SIGHUP reads the settings again.
#include "node/node.h"
#include "commands/commands.h"
#include "commands/meshnode.h"
#include "kernel/logging.h"
#include "kernel/signalthread.h"

#include <cstdio>
#include <semaphore>

namespace Fescuenotch {

namespace {

bool wantsHelp(const std::vector<std::string> &args)
{
    for (const auto &arg : args) {
        if (arg == "--help" || arg == "-?") {
            return true;
        }
    }
    return false;
}

/// Blocks until a signal asks the node to stop. Later ones are logged and change nothing.
class StopRequest
{
public:
    void wait()
    {
        m_requested.acquire();
    }

private:
    void receive(int number)
    {
        if (m_stopping) {
            logEvent(LogLevel::Info, "already_stopping").with("signal", signalName(number));
            return;
        }
        m_stopping = true;
        m_requested.release();
    }

    std::binary_semaphore m_requested{0};
    bool m_stopping = false; ///< used by the signal thread
    SignalThread m_signals{[this](int number) { receive(number); }};
};

int runNode(const std::vector<std::string> &args)
{
    if (namesAdapter(args)) {
        return runMeshNode(args);
    }
    if (wantsHelp(args)) {
        std::fputs(nodeHelp().c_str(), stdout);
        return ExitOk;
    }
    const auto parsed = valueOrError([&] { return parseNodeSettings(args, processEnvironment()); });
    if (const auto *error = std::get_if<Error>(&parsed)) {
        std::fprintf(stderr, "fescuenotch node: %s\n", describe(*error).c_str());
        return ExitUsage;
    }
    const auto &settings = std::get<0>(parsed);
    startLogging(settings.logLevel, settings.host);
    Node node(settings);
    const auto error = errorOf([&] { return node.start(); });
    if (error) {
        logEvent(LogLevel::Error, "node_not_started").with(*error);
        return ExitFailed;
    }
    StopRequest stop;
    stop.wait();
    node.leave();
    node.stop();
    return ExitOk;
}

const CommandRegistration registration("node", {"run a node on this host", runNode, true});

} // namespace

} // namespace Fescuenotch
