#include "commands/commands.h"

#include "kernel/signalthread.h"

#include <cstdio>

namespace Fescuenotch {

namespace {

constexpr const char *ProgramVersion = "0.1.0";

int printUsage(std::FILE *out, int code)
{
    std::fprintf(out, "Usage: fescuenotch COMMAND ...\n\nCommands:\n");
    for (const auto &[name, command] : commands()) {
        std::fprintf(out, "  %-8s %s\n", name.c_str(), command.summary.c_str());
    }
    return code;
}

int runHelp(const std::vector<std::string> &)
{
    return printUsage(stdout, ExitOk);
}

int runVersion(const std::vector<std::string> &)
{
    std::printf("fescuenotch %s\n", ProgramVersion);
    return ExitOk;
}

const CommandRegistration helpRegistration("help", {"list the commands", runHelp});
const CommandRegistration versionRegistration("version", {"print the version", runVersion});

} // namespace

std::map<std::string, Command> &commands()
{
    static std::map<std::string, Command> all;
    return all;
}

CommandRegistration::CommandRegistration(const std::string &name, const Command &command)
{
    commands()[name] = command;
}

int runCommand(const std::vector<std::string> &args)
{
    if (args.empty()) {
        return printUsage(stderr, ExitUsage);
    }
    const std::string name = args[0] == "--help" ? "help" : args[0] == "--version" ? "version" : args[0];
    const auto it = commands().find(name);
    if (it == commands().end()) {
        std::fprintf(stderr, "fescuenotch: '%s' is no command; run fescuenotch help\n", name.c_str());
        return ExitUsage;
    }
    if (it->second.handlesSignals) {
        prepareSignals(); // first, since every thread that is started later inherits the mask
    }
    return it->second.run({args.begin() + 1, args.end()});
}

} // namespace Fescuenotch
