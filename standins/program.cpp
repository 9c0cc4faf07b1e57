#include "standins/program.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>

namespace Fescuenotch::Standins {

std::optional<int> parseOptions(int argc, char **argv, std::vector<poptOption> options)
{
    static poptOption helpOptions[] = {POPT_AUTOHELP POPT_TABLEEND};
    options.push_back(helpOptions[0]);
    options.push_back(POPT_TABLEEND);
    const auto context = poptGetContext(argv[0], argc, const_cast<const char **>(argv), options.data(), 0);
    const std::unique_ptr<std::remove_pointer_t<poptContext>, poptContext (*)(poptContext)> owner(context, poptFreeContext);
    const int code = poptGetNextOpt(context);
    if (code < -1) {
        std::fprintf(stderr, "%s: %s; see --help\n", poptBadOption(context, 0), poptStrerror(code));
        return 2;
    }
    if (const char *rest = poptGetArg(context)) {
        std::fprintf(stderr, "'%s' is not a flag; see --help\n", rest);
        return 2;
    }
    return std::nullopt;
}

void exitWith(const std::string &what)
{
    std::fprintf(stderr, "%s\n", what.c_str());
    std::exit(2);
}

Endpoint endpointOrExit(const std::string &flag, const char *value)
{
    const auto parsed = valueOrError([&] { return parseEndpoint(value == nullptr ? "" : value); });
    if (parsed.index() != 0) {
        exitWith("--" + flag + ": " + describe(std::get<1>(parsed)));
    }
    return std::get<0>(parsed);
}

nlohmann::json parseObject(const std::string &text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() ? json : nlohmann::json();
}

nlohmann::json jsonFileOrExit(const std::string &path)
{
    std::ifstream file(path);
    auto json = nlohmann::json::parse(file, nullptr, false);
    if (!file.is_open() || json.is_discarded()) {
        exitWith(path + ": cannot be read as JSON; give a readable JSON file");
    }
    return json;
}

void blockSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForSignal()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    int number = 0;
    sigwait(&set, &number);
}

} // namespace Fescuenotch::Standins
