// Sections: [names and limits] [table of settings] [reading flags with popt] [checks] [help]
#include "kernel/settings.h"

#include <popt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <functional>
#include <set>

extern char **environ;

namespace Fescuenotch {

namespace {

constexpr const char *VariablePrefix = "FESCUENOTCH_";

// ---- [table of settings] ----------------------------------------------------------------------------------------

/// One setting: how it is named, explained, read and shown.
struct SettingEntry {
    std::string flag; ///< without the dashes
    std::string form; ///< what a value looks like, with its unit
    std::string help;
    std::string initial; ///< default as text; empty: none
    bool required = false;
    std::function<Result<void>(NodeSettings &, const std::string &)> read;
};

leaf::error_id badValue(const std::string &flag, const std::string &value, const std::string &allowed)
{
    return fail(ErrorKind::InvalidSetting, "--" + flag + ": '" + value + "' is not allowed", "use " + allowed);
}

Result<std::uint64_t> readNumber(const std::string &flag, const std::string &value, std::uint64_t low, std::uint64_t high)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
    if (ec != std::errc() || end != value.data() + value.size() || n < low || n > high) {
        return badValue(flag, value, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return n;
}

/// Reads "250ms", "30s" or "2m".
Result<milliseconds> readDuration(const std::string &flag, const std::string &value, milliseconds low, milliseconds high)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
    const std::string unit(end, value.data() + value.size());
    const std::map<std::string, std::int64_t> factors{{"ms", 1}, {"s", 1'000}, {"m", 60'000}};
    const auto it = factors.find(unit);
    const bool inRange = ec == std::errc() && it != factors.end() && n >= 0 && n <= high.count() / it->second && milliseconds(n * it->second) >= low;
    if (!inRange) {
        return badValue(flag, value, "a time from " + std::to_string(low.count()) + "ms to " + std::to_string(high.count()) + "ms, such as 250ms, 30s or 2m");
    }
    return milliseconds(n * it->second);
}

bool isName(const std::string &value)
{
    return !value.empty() && value.size() <= 128
        && std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

SettingEntry nameSetting(const std::string &flag, const std::string &help, bool required, std::string NodeSettings::*field)
{
    return {flag, "NAME", help, "", required, [flag, field](NodeSettings &settings, const std::string &value) -> Result<void> {
                if (!isName(value)) {
                    return badValue(flag, value, "1 to 128 letters, digits, '-', '_' or '.'");
                }
                settings.*field = value;
                return {};
            }};
}

SettingEntry endpointSetting(const std::string &flag, const std::string &help, Endpoint NodeSettings::*field)
{
    return {flag, "IP:PORT", help, "", true, [flag, field](NodeSettings &settings, const std::string &value) -> Result<void> {
                const auto parsed = valueOrError([&] { return parseEndpoint(value); });
                if (parsed.index() != 0) {
                    return badValue(flag, value, "an IPv4 number and a port from 1 to 65535, such as 127.1.0.11:7400");
                }
                settings.*field = std::get<0>(parsed);
                return {};
            }};
}

SettingEntry durationSetting(
    const std::string &flag, const std::string &help, const std::string &initial, milliseconds low, milliseconds high, milliseconds NodeSettings::*field)
{
    return {flag, "TIME", help, initial, false, [=](NodeSettings &settings, const std::string &value) -> Result<void> {
                BOOST_LEAF_AUTO(time, readDuration(flag, value, low, high));
                settings.*field = time;
                return {};
            }};
}

template<typename T>
SettingEntry numberSetting(const std::string &flag,
                           const std::string &form,
                           const std::string &help,
                           const std::string &initial,
                           std::uint64_t low,
                           std::uint64_t high,
                           T NodeSettings::*field)
{
    return {flag, form, help, initial, false, [=](NodeSettings &settings, const std::string &value) -> Result<void> {
                BOOST_LEAF_AUTO(n, readNumber(flag, value, low, high));
                settings.*field = static_cast<T>(n);
                return {};
            }};
}

Result<void> readHost(NodeSettings &settings, const std::string &value)
{
    if (!isIpNumber(value)) {
        return badValue("host", value, "this host's IPv4 number, such as 127.1.0.11");
    }
    settings.host = value;
    return {};
}

Result<void> readPlatform(NodeSettings &settings, const std::string &value)
{
    const std::string scheme = "http://";
    const bool hasScheme = value.rfind(scheme, 0) == 0;
    const auto parsed = valueOrError([&] { return parseEndpoint(hasScheme ? value.substr(scheme.size()) : ""); });
    if (parsed.index() != 0) {
        return badValue("platform", value, "http://IP:PORT, such as http://127.0.0.1:7000");
    }
    settings.platform = value;
    return {};
}

Result<void> readLevel(NodeSettings &settings, const std::string &value)
{
    const auto parsed = valueOrError([&] { return parseLogLevel(value); });
    if (parsed.index() != 0) {
        return badValue("log-level", value, "trace, debug, info, warning or error");
    }
    settings.logLevel = std::get<0>(parsed);
    return {};
}

Result<void> readShare(NodeSettings &settings, const std::string &value)
{
    BOOST_LEAF_AUTO(n, readNumber("platform-share", value, 1, 100));
    settings.platformShare = static_cast<double>(n) / 100.0;
    return {};
}

Result<void> readSpreadMode(NodeSettings &settings, const std::string &value)
{
    static const std::set<std::string> modes{"baseline", "gossip", "tree", "tree-digest"};
    if (!modes.contains(value)) {
        return badValue("spread-mode", value, "baseline, gossip, tree or tree-digest");
    }
    settings.spreadMode = value;
    return {};
}

Result<void> readTraceFile(NodeSettings &settings, const std::string &value)
{
    settings.traceFile = value;
    return {};
}

const std::vector<SettingEntry> &settingTable()
{
    using S = NodeSettings;
    constexpr auto Minute = milliseconds(60'000);
    static const std::vector<SettingEntry> table{
        {"host", "IP", "IPv4 number of this host; the node's identity", "", true, readHost},
        nameSetting("data-centre", "data centre of this host", true, &S::dataCentre),
        nameSetting("service", "service that this host's target belongs to", true, &S::service),
        nameSetting("profile", "profile to follow instead of the one that the service follows", false, &S::profile),
        {"platform", "URL", "the platform that publishes the configuration", "", true, readPlatform},
        endpointSetting("caller-listen", "address for callers", &S::callerListen),
        endpointSetting("peer-listen", "address for other nodes", &S::peerListen),
        endpointSetting("operator-listen", "address for operators", &S::operatorListen),
        durationSetting("drain-limit", "longest wait for requests in flight after SIGTERM", "30s", milliseconds(0), 60 * Minute, &S::drainLimit),
        {"log-level", "LEVEL", "lowest level written: trace, debug, info, warning or error", "info", false, readLevel},
        numberSetting("platform-rate", "CALLS/S", "calls per second that the platform answers over all readers", "2000", 1, 1'000'000, &S::platformRate),
        {"platform-share", "PERCENT", "share of the platform's rate that all nodes together may use", "50", false, readShare},
        numberSetting("readers", "NODES", "nodes that watch the platform in each data centre", "3", 1, 64, &S::readers),
        numberSetting("tree-fan-out", "NODES", "children of each node in the spread tree", "4", 1, 64, &S::treeFanOut),
        durationSetting("digest-period", "time between digests to a random neighbour", "1s", milliseconds(50), Minute, &S::digestPeriod),
        durationSetting("spread-target", "a revision is to be in force everywhere within this", "6s", milliseconds(100), 10 * Minute, &S::spreadTarget),
        durationSetting("heartbeat-period", "time between heartbeats on a peer link", "250ms", milliseconds(10), Minute, &S::heartbeatPeriod),
        numberSetting("heartbeats-missed", "COUNT", "heartbeats missed before a link is dead", "3", 1, 100, &S::heartbeatsMissed),
        numberSetting("max-header-bytes", "BYTES", "largest request line with headers from a caller", "32768", 1'024, 1'048'576, &S::maxHeaderBytes),
        numberSetting("max-body-bytes", "BYTES", "largest request body from a caller", "2147483648", 0, 1'099'511'627'776, &S::maxBodyBytes),
        numberSetting("max-caller-connections", "COUNT", "callers' connections at once", "256", 1, 4'096, &S::maxCallerConnections),
        {"spread-mode", "MODE", "baseline, gossip, tree or tree-digest; all but the last are for comparison", "tree-digest", false, readSpreadMode},
        {"trace-file", "PATH", "file that decisions are recorded to", "", false, readTraceFile},
    };
    return table;
}

std::string variableName(const std::string &flag)
{
    std::string name = VariablePrefix;
    for (const char c : flag) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

// ---- [reading flags with popt] ----------------------------------------------------------------------------------

struct PoptContextDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};
using PoptContextPtr = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter>;

std::vector<poptOption> poptTable()
{
    std::vector<poptOption> options;
    int number = 1;
    for (const auto &entry : settingTable()) {
        options.push_back({entry.flag.c_str(), '\0', POPT_ARG_STRING, nullptr, number++, entry.help.c_str(), entry.form.c_str()});
    }
    options.push_back(POPT_TABLEEND);
    return options;
}

using Values = std::map<std::string, std::string>;

Result<Values> readFlags(const std::vector<std::string> &args)
{
    std::vector<const char *> argv{"fescuenotch node"};
    for (const auto &arg : args) {
        argv.push_back(arg.c_str());
    }
    const auto options = poptTable();
    const PoptContextPtr context(poptGetContext(nullptr, static_cast<int>(argv.size()), argv.data(), options.data(), 0));
    Values values;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        char *text = poptGetOptArg(context.get());
        values[settingTable()[static_cast<std::size_t>(code) - 1].flag] = text == nullptr ? "" : text;
        std::free(text);
    }
    if (code < -1) {
        return fail(ErrorKind::InvalidSetting, std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code), "see fescuenotch node --help");
    }
    if (const char *rest = poptGetArg(context.get())) {
        return fail(ErrorKind::InvalidSetting, "'" + std::string(rest) + "' is not a flag", "write settings as --flag value; see fescuenotch node --help");
    }
    return values;
}

Result<Values> readEnvironment(const Environment &environment)
{
    Values values;
    for (const auto &variable : environment) {
        const auto &name = variable.first;
        const auto &value = variable.second;
        if (name.rfind(VariablePrefix, 0) != 0) {
            continue;
        }
        const auto it = std::find_if(settingTable().begin(), settingTable().end(), [&](const SettingEntry &entry) { return variableName(entry.flag) == name; });
        if (it == settingTable().end()) {
            return fail(ErrorKind::InvalidSetting, name + ": no setting has this environment variable", "unset it or see fescuenotch node --help");
        }
        values[it->flag] = value;
    }
    return values;
}

// ---- [checks] ---------------------------------------------------------------------------------------------------

leaf::error_id contradiction(const std::string &what, const std::string &remedy)
{
    return fail(ErrorKind::InvalidSetting, what, remedy);
}

Result<void> checkTogether(const NodeSettings &s)
{
    const bool sameListen = s.callerListen == s.peerListen || s.callerListen == s.operatorListen || s.peerListen == s.operatorListen;
    if (sameListen) {
        return contradiction("--caller-listen, --peer-listen and --operator-listen share an address", "give each its own port");
    }
    if (s.digestPeriod * 2 > s.spreadTarget) {
        return contradiction("--digest-period is more than half of --spread-target", "lower --digest-period, or lost pushes are repaired too late");
    }
    if (s.heartbeatPeriod * s.heartbeatsMissed > s.spreadTarget) {
        return contradiction("--heartbeat-period times --heartbeats-missed passes --spread-target", "lower one of them, or a dead link is found too late");
    }
    if (s.peerListen.host != s.host) {
        return contradiction("--peer-listen " + toString(s.peerListen) + " is not on --host " + s.host, "peers find a node at its host's number: use the same");
    }
    return {};
}

} // namespace

Result<NodeSettings> parseNodeSettings(const std::vector<std::string> &args, const Environment &environment)
{
    BOOST_LEAF_AUTO(values, readEnvironment(environment));
    BOOST_LEAF_AUTO(flags, readFlags(args));
    for (const auto &[flag, value] : flags) {
        values[flag] = value;
    }
    NodeSettings settings;
    for (const auto &entry : settingTable()) {
        const auto it = values.find(entry.flag);
        if (it == values.end() && entry.required) {
            return fail(ErrorKind::InvalidSetting,
                        "--" + entry.flag + " is missing",
                        "give --" + entry.flag + " " + entry.form + " or set " + variableName(entry.flag));
        }
        if (it != values.end()) {
            BOOST_LEAF_CHECK(entry.read(settings, it->second));
        }
    }
    BOOST_LEAF_CHECK(checkTogether(settings));
    return settings;
}

// ---- [help] -----------------------------------------------------------------------------------------------------

std::string nodeHelp()
{
    std::string text = "Usage: fescuenotch node --flag value ...\n\nEach flag overrides its environment variable. Times are written 250ms, 30s or 2m.\n\n";
    for (const auto &entry : settingTable()) {
        text += "  --" + entry.flag + " " + entry.form + "\n      " + entry.help;
        text += entry.required ? " (required)" : " (default: " + (entry.initial.empty() ? std::string("none") : entry.initial) + ")";
        text += "\n      " + variableName(entry.flag) + "\n";
    }
    return text;
}

Environment processEnvironment()
{
    Environment found;
    for (char **it = environ; *it != nullptr; ++it) {
        const std::string entry = *it;
        const auto equals = entry.find('=');
        if (entry.rfind(VariablePrefix, 0) == 0 && equals != std::string::npos) {
            found[entry.substr(0, equals)] = entry.substr(equals + 1);
        }
    }
    return found;
}

} // namespace Fescuenotch
