// Commands of the program. Each registers itself by name; `runCommand` finds it.
//
// How to use, in a command's .cpp file:
//   static const CommandRegistration registration("check", {"check documents as a node would", runCheck});
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

/// Exit codes of the program.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1; ///< the command did its work and the answer is no
constexpr int ExitUsage = 2; ///< the command line is wrong

struct Command {
    std::string summary;
    std::function<int(const std::vector<std::string> &args)> run;
    bool handlesSignals = false; ///< receives SIGTERM, SIGINT and SIGHUP by a SignalThread
};

std::map<std::string, Command> &commands();

class CommandRegistration
{
public:
    CommandRegistration(const std::string &name, const Command &command);
};

/// Runs the command that args[0] names with the rest of the arguments; gives the exit code.
int runCommand(const std::vector<std::string> &args);

} // namespace Fescuenotch
