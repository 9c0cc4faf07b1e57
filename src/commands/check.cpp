// fescuenotch check FILE...: checks files of documents as a node would.
#include "commands/commands.h"
#include "config/checkfiles.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>

namespace Fescuenotch {

namespace {

constexpr const char *CheckUsage
    = "Usage: fescuenotch check FILE...\n\n"
      "Each FILE is one JSON object of keys (profile/NAME or service/NAME) to values; null means withdrawn.\n"
      "Prints one line per fault: file, JSON pointer, what was seen, what to do. Exits 0 without faults, else 1.\n";

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream in(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in.is_open() || in.bad()) {
        return std::nullopt;
    }
    return text;
}

void printFault(const DocumentFault &fault)
{
    std::printf("%s: %s\n", fault.file.c_str(), fault.text.c_str());
}

int runCheck(const std::vector<std::string> &args)
{
    const bool asksHelp = !args.empty() && args[0] == "--help";
    if (args.empty() || asksHelp) {
        std::fputs(CheckUsage, asksHelp ? stdout : stderr);
        return asksHelp ? ExitOk : ExitUsage;
    }
    std::vector<DocumentFile> files;
    std::vector<DocumentFault> faults;
    for (const auto &name : args) {
        auto text = readFile(name);
        if (text) {
            files.push_back({name, std::move(*text)});
        } else {
            faults.push_back({name, "/: cannot be read; name a readable file"});
        }
    }
    const auto found = checkFiles(files);
    faults.insert(faults.end(), found.begin(), found.end());
    for (const auto &fault : faults) {
        printFault(fault);
    }
    return faults.empty() ? ExitOk : ExitFailed;
}

const CommandRegistration registration("check", "check files of documents as a node would", runCheck);

} // namespace

} // namespace Fescuenotch
