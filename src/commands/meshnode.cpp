#include "commands/meshnode.h"

#include "commands/commands.h"
#include "forward/meshnode.h"
#include "kernel/logging.h"
#include "kernel/plugin.h"
#include "kernel/settings.h"
#include "kernel/signalthread.h"
#include "plugins/interfaces.h"

#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace Fescuenotch {

namespace {

constexpr const char *AdapterFlag = "--adapter";
constexpr const char *AdapterVariable = "FESCUENOTCH_ADAPTER";
constexpr const char *LevelVariable = "FESCUENOTCH_LOG_LEVEL";
constexpr const char *PagesVariable = "FESCUENOTCH_OPERATOR_LISTEN";

constexpr const char *HelpText
    = "Usage: fescuenotch node --adapter NAME [--log-level LEVEL] [--operator-listen IP:PORT]\n\n"
      "  --adapter NAME            platform whose settings and store are used (FESCUENOTCH_ADAPTER)\n"
      "  --log-level LEVEL         trace, debug, info, warning or error; default info (FESCUENOTCH_LOG_LEVEL)\n"
      "  --operator-listen IP:PORT metrics and status besides the platform's health address; default none\n"
      "                            (FESCUENOTCH_OPERATOR_LISTEN)\n";

struct MeshFlags {
    std::string adapter;
    std::string level = "info";
    std::string pages;
    bool help = false;
};

struct PoptDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

std::string variable(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name);
    return value == nullptr ? otherwise : value;
}

Result<MeshFlags> parseFlags(const std::vector<std::string> &args)
{
    MeshFlags flags;
    flags.adapter = variable(AdapterVariable, "");
    flags.level = variable(LevelVariable, flags.level);
    flags.pages = variable(PagesVariable, "");
    enum Option { Adapter = 1, Level, Pages, Help };
    const poptOption options[] = {{"adapter", '\0', POPT_ARG_STRING, nullptr, Adapter, nullptr, nullptr},
                                  {"log-level", '\0', POPT_ARG_STRING, nullptr, Level, nullptr, nullptr},
                                  {"operator-listen", '\0', POPT_ARG_STRING, nullptr, Pages, nullptr, nullptr},
                                  {"help", '?', POPT_ARG_NONE, nullptr, Help, nullptr, nullptr},
                                  POPT_TABLEEND};
    std::vector<const char *> argv{"fescuenotch node"};
    for (const auto &arg : args) {
        argv.push_back(arg.c_str());
    }
    const std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter> context(
        poptGetContext(nullptr, static_cast<int>(argv.size()), argv.data(), options, 0));
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        char *text = poptGetOptArg(context.get());
        const std::string value = text == nullptr ? "" : text;
        std::free(text);
        if (code == Help) {
            flags.help = true;
        } else {
            (code == Adapter ? flags.adapter : code == Level ? flags.level : flags.pages) = value;
        }
    }
    if (code < -1) {
        return fail(
            ErrorKind::InvalidSetting, std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code), "see fescuenotch node --adapter NAME --help");
    }
    if (const char *rest = poptGetArg(context.get())) {
        return fail(ErrorKind::InvalidSetting, "'" + std::string(rest) + "' is not a flag", "see fescuenotch node --adapter NAME --help");
    }
    return flags;
}

/// Names of ours that are misspelt would otherwise go unnoticed; those of the platform are its own.
Result<void> checkVariables(const PlatformAdapter &adapter)
{
    auto known = adapter.environmentVariables();
    known.insert(known.end(), {AdapterVariable, LevelVariable, PagesVariable});
    for (const auto &[name, value] : processEnvironment()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return fail(
                ErrorKind::InvalidSetting, name + ": no setting has this environment variable", "unset it or see fescuenotch node --adapter NAME --help");
        }
    }
    return {};
}

Result<MeshNodeOptions> parseOptions(const MeshFlags &flags)
{
    MeshNodeOptions options;
    if (!flags.pages.empty()) {
        BOOST_LEAF_AUTO(endpoint, parseEndpoint(flags.pages));
        options.operatorListen = endpoint;
    }
    return options;
}

Result<int> startAndRun(const std::vector<std::string> &args)
{
    BOOST_LEAF_AUTO(flags, parseFlags(args));
    if (flags.help) {
        std::fputs(HelpText, stdout);
        return ExitOk;
    }
    BOOST_LEAF_AUTO(adapter, makePlugin<PlatformAdapter>(flags.adapter, NodeContext{}));
    BOOST_LEAF_CHECK(checkVariables(*adapter));
    BOOST_LEAF_AUTO(options, parseOptions(flags));
    BOOST_LEAF_AUTO(level, parseLogLevel(flags.level));
    BOOST_LEAF_AUTO(settings, adapter->readSettings());
    startBoundedLogging(level, settings.nodeName);
    MeshNode node(std::move(adapter), options);
    BOOST_LEAF_CHECK(node.start());
    const SignalThread signals([&node](int number) { number == SIGHUP ? node.reload() : node.beginStop(); });
    node.run();
    // The worker may still parse a large configuration, for seconds on a small share of a processor. Nothing that it or the
    // node holds outlives the process, so neither is waited for. Signals are received until the end.
    stopBoundedLogging();
    std::fflush(nullptr);
    std::_Exit(ExitOk);
}

} // namespace

bool namesAdapter(const std::vector<std::string> &args)
{
    const auto isAdapter = [](const std::string &arg) { return arg == AdapterFlag || arg.rfind(std::string(AdapterFlag) + "=", 0) == 0; };
    return std::any_of(args.begin(), args.end(), isAdapter) || std::getenv(AdapterVariable) != nullptr;
}

int runMeshNode(const std::vector<std::string> &args)
{
    const auto result = valueOrError([&] { return startAndRun(args); });
    if (const auto *error = std::get_if<Error>(&result)) {
        std::fprintf(stderr, "fescuenotch node: %s\n", describe(*error).c_str());
        stopBoundedLogging();
        return error->kind == ErrorKind::InvalidSetting ? ExitUsage : ExitFailed;
    }
    stopBoundedLogging();
    return std::get<int>(result);
}

} // namespace Fescuenotch
