// fescuenotch check: checks files of documents, or a platform's settings files, as a node would.
#include "adapter/adapter.h"
#include "commands/commands.h"
#include "config/checkfiles.h"
#include "kernel/plugin.h"
#include "plugins/interfaces.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>

namespace Fescuenotch {

namespace {

constexpr const char *CheckUsage
    = "Usage: fescuenotch check FILE...\n"
      "       fescuenotch check --adapter NAME FILE...\n\n"
      "Each FILE is one JSON object of keys (profile/NAME or service/NAME) to values; null means withdrawn.\n"
      "With --adapter each FILE is a settings file of that platform; prints a line for each sound one too.\n"
      "Prints one line per error: file, where, what was seen, what to do. Exits 0 without errors, else 1.\n";
constexpr const char *AdapterFlag = "--adapter";

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream in(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in.is_open() || in.bad()) {
        return std::nullopt;
    }
    return text;
}

void printError(const DocumentError &error)
{
    std::printf("%s: %s\n", error.file.c_str(), error.text.c_str());
}

/// True when the settings in the file are sound.
bool checkSettingsFile(const PlatformAdapter &adapter, const std::string &name)
{
    const auto read = valueOrError([&] { return adapter.readSettingsFile(name); });
    if (const auto *error = std::get_if<Error>(&read)) {
        printError({name, describe(*error)});
        return false;
    }
    const auto &settings = std::get<DeploymentSettings>(read);
    std::printf("%s: sound; node=%s data_centre=%s service=%s target=%s callers=%s peers=%s store=%s\n",
                name.c_str(),
                settings.nodeName.c_str(),
                settings.dataCentre.c_str(),
                settings.service.c_str(),
                toString(settings.targetAddress).c_str(),
                toString(settings.callerListen).c_str(),
                toString(settings.peerListen).c_str(),
                toString(settings.store).c_str());
    return true;
}

int checkSettings(const std::string &adapterName, const std::vector<std::string> &files)
{
    const auto made = valueOrError([&] { return makePlugin<PlatformAdapter>(adapterName, NodeContext{}); });
    if (const auto *error = std::get_if<Error>(&made)) {
        std::fprintf(stderr, "fescuenotch check: %s\n", describe(*error).c_str());
        return ExitUsage;
    }
    const auto &adapter = *std::get<std::unique_ptr<PlatformAdapter>>(made);
    bool sound = true;
    for (const auto &name : files) {
        sound = checkSettingsFile(adapter, name) && sound;
    }
    return sound ? ExitOk : ExitFailed;
}

int runCheck(const std::vector<std::string> &args)
{
    const bool asksHelp = !args.empty() && args[0] == "--help";
    const bool namesAdapter = !args.empty() && args[0] == AdapterFlag;
    constexpr std::size_t AdapterArguments = 2; // the flag and the name
    if (args.empty() || asksHelp || (namesAdapter && args.size() <= AdapterArguments)) {
        std::fputs(CheckUsage, asksHelp ? stdout : stderr);
        return asksHelp ? ExitOk : ExitUsage;
    }
    if (namesAdapter) {
        return checkSettings(args[1], {args.begin() + AdapterArguments, args.end()});
    }
    std::vector<DocumentFile> files;
    std::vector<DocumentError> errors;
    for (const auto &name : args) {
        auto text = readFile(name);
        if (text) {
            files.push_back({name, std::move(*text)});
        } else {
            errors.push_back({name, "/: cannot be read; name a readable file"});
        }
    }
    const auto found = checkFiles(files);
    errors.insert(errors.end(), found.begin(), found.end());
    for (const auto &error : errors) {
        printError(error);
    }
    return errors.empty() ? ExitOk : ExitFailed;
}

const CommandRegistration registration("check", {"check files of documents or settings as a node would", runCheck});

} // namespace

} // namespace Fescuenotch
