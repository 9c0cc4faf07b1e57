// What the main functions of the stand-ins share: arguments by popt, files, signals.
//
// How to use: `blockSignals()` before any thread starts; `parseOptions`; start servers; `waitForSignal()`.
#pragma once

#include "kernel/endpoint.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch::Standins {

/// Fills the variables that `options` point to. An exit code when the program must end at once (--help, a bad flag).
/// The table needs no end mark.
std::optional<int> parseOptions(int argc, char **argv, std::vector<poptOption> options);
/// The address in a flag's value; prints what is wrong and ends the program with code 2.
Endpoint endpointOrExit(const std::string &flag, const char *value);
/// Contents of a JSON file; prints what is wrong and ends the program with code 2.
nlohmann::json jsonFileOrExit(const std::string &path);
/// Prints `what` with the program's name and ends it with code 2.
[[noreturn]] void exitWith(const std::string &what);
/// SIGTERM and SIGINT wait for `waitForSignal`; SIGPIPE is ignored.
void blockSignals();
/// Waits for SIGTERM or SIGINT.
void waitForSignal();
/// `text` when it is a JSON object; otherwise an empty value.
nlohmann::json parseObject(const std::string &text);

} // namespace Fescuenotch::Standins
