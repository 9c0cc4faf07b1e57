// fescuenotch node: runs one node until SIGTERM or SIGINT.
#include "node/node.h"
#include "commands/commands.h"
#include "commands/meshnode.h"
#include "kernel/logging.h"

#include <csignal>
#include <cstdio>

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

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// A second signal ends the wait for requests in flight.
void endAtSecondSignal(const sigset_t &signals)
{
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

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
    std::signal(SIGPIPE, SIG_IGN);
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Node node(settings);
    const auto error = errorOf([&] { return node.start(); });
    if (error) {
        logEvent(LogLevel::Error, "node_not_started").with(*error);
        return ExitFailed;
    }
    int number = 0;
    sigwait(&signals, &number);
    endAtSecondSignal(signals);
    node.leave();
    node.stop();
    return ExitOk;
}

const CommandRegistration registration("node", "run a node on this host", runNode);

} // namespace

} // namespace Fescuenotch
