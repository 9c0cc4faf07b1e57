// fescuenotch status: shows how far each profile has spread, as one node of a data centre knows it.
#include "commands/commands.h"
#include "kernel/endpoint.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include <cstdio>
#include <memory>
#include <thread>

namespace Fescuenotch {

namespace {

using Json = nlohmann::json;

constexpr long AnswerLimitMs = 5'000; ///< ms; longest wait for the node
constexpr std::size_t PageLimit = 16 * 1024 * 1024; ///< bytes
constexpr std::chrono::seconds WatchPeriod{1};
constexpr long HttpOk = 200;

struct StatusOptions {
    Endpoint node;
    bool json = false; ///< print the page as it is
    bool watch = false; ///< repeat until ended
};

std::size_t appendPage(char *data, std::size_t size, std::size_t count, void *out)
{
    auto &text = *static_cast<std::string *>(out);
    if (text.size() + size * count > PageLimit) {
        return 0;
    }
    text.append(data, size * count);
    return size * count;
}

Result<std::string> fetchStatus(const Endpoint &node)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(), curl_easy_cleanup);
    const std::string url = "http://" + toString(node) + "/status";
    std::string text;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, AnswerLimitMs);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, appendPage);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &text);
    const auto code = curl_easy_perform(curl.get());
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK || status != HttpOk) {
        const std::string why = code != CURLE_OK ? curl_easy_strerror(code) : "answered " + std::to_string(status);
        return fail(ErrorKind::PeerUnavailable, "node " + toString(node) + ": " + why, "give the --operator-listen address of a running node");
    }
    return text;
}

std::string versionText(const Json &line)
{
    return std::to_string(line.at("epoch").get<std::uint64_t>()) + "." + std::to_string(line.at("revision").get<std::uint64_t>());
}

void printTable(const Json &page)
{
    std::printf("node %s in %s, %s\n",
                page.at("host").get<std::string>().c_str(),
                page.at("data_centre").get<std::string>().c_str(),
                page.at("reader").get<bool>() ? "reader" : "no reader");
    std::printf("%-24s %-20s %-14s %8s %8s %8s %10s %8s\n", "PROFILE", "DATA CENTRE", "REVISION", "IN FORCE", "BEHIND", "SILENT", "REJECTING", "LAG MS");
    for (const auto &line : page.at("spread")) {
        std::printf("%-24s %-20s %-14s %8u %8u %8u %10u %8lld\n",
                    line.at("profile").get<std::string>().c_str(),
                    line.at("data_centre").get<std::string>().c_str(),
                    versionText(line).c_str(),
                    line.at("in_force").get<unsigned>(),
                    line.at("behind").get<unsigned>(),
                    line.at("silent").get<unsigned>(),
                    line.at("rejecting").get<unsigned>(),
                    line.at("lag_ms").get<long long>());
    }
    for (const auto &record : page.at("rejected")) {
        std::printf(
            "rejected %s %s: %s\n", record.at("key").get<std::string>().c_str(), versionText(record).c_str(), record.at("reason").get<std::string>().c_str());
    }
}

Result<void> showOnce(const StatusOptions &options)
{
    BOOST_LEAF_AUTO(text, fetchStatus(options.node));
    if (options.json) {
        std::fputs(text.c_str(), stdout);
        return {};
    }
    try {
        printTable(Json::parse(text));
    } catch (const Json::exception &) {
        return fail(
            ErrorKind::InvalidInput, "node " + toString(options.node) + ": the page is not of this version", "use the program of the node's own version");
    }
    std::fflush(stdout);
    return {};
}

Result<StatusOptions> parseOptions(const std::vector<std::string> &args)
{
    char *node = nullptr;
    int json = 0;
    int watch = 0;
    const std::vector<poptOption> table{
        {"node", '\0', POPT_ARG_STRING, &node, 0, "operator address of a node", "IP:PORT"},
        {"json", '\0', POPT_ARG_NONE, &json, 0, "print the page as JSON", nullptr},
        {"watch", '\0', POPT_ARG_NONE, &watch, 0, "repeat each second until ended", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    std::vector<const char *> argv{"fescuenotch status"};
    for (const auto &arg : args) {
        argv.push_back(arg.c_str());
    }
    const std::unique_ptr<std::remove_pointer_t<poptContext>, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, static_cast<int>(argv.size()), argv.data(), table.data(), 0), poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> nodeText(node, std::free);
    if (code < -1) {
        return fail(ErrorKind::InvalidSetting, std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code), "see fescuenotch status --help");
    }
    if (const char *rest = poptGetArg(context.get())) {
        return fail(ErrorKind::InvalidSetting, "'" + std::string(rest) + "' is not a flag", "see fescuenotch status --help");
    }
    if (nodeText == nullptr) {
        return fail(ErrorKind::InvalidSetting, "--node is missing", "give --node IP:PORT, the --operator-listen address of a node");
    }
    BOOST_LEAF_AUTO(endpoint, parseEndpoint(nodeText.get()));
    return StatusOptions{endpoint, json != 0, watch != 0};
}

int report(const Error &error)
{
    std::fprintf(stderr, "fescuenotch status: %s\n", describe(error).c_str());
    return error.kind == ErrorKind::PeerUnavailable ? ExitFailed : ExitUsage;
}

int runStatus(const std::vector<std::string> &args)
{
    const auto options = valueOrError([&] { return parseOptions(args); });
    if (const auto *error = std::get_if<Error>(&options)) {
        return report(*error);
    }
    do {
        const auto error = errorOf([&] { return showOnce(std::get<0>(options)); });
        if (error && !std::get<0>(options).watch) {
            return report(*error);
        }
        if (std::get<0>(options).watch) {
            std::this_thread::sleep_for(WatchPeriod);
        }
    } while (std::get<0>(options).watch);
    return ExitOk;
}

const CommandRegistration registration("status", {"show how far each profile has spread", runStatus});

} // namespace

} // namespace Fescuenotch
