// Stand-in for the platform: the read protocol on --listen, an operator port for tests on --operator.
#include "standins/platform.h"
#include "standins/program.h"

#include <cstdio>
#include <unistd.h>

using namespace Fescuenotch;
using namespace Fescuenotch::Standins;

int main(int argc, char **argv)
{
    char *listen = nullptr;
    char *operatorListen = nullptr;
    char *documents = nullptr;
    char *hosts = nullptr;
    int rate = 2'000;
    int pageBytes = 512 * 1024;
    std::vector<poptOption> options{
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address of the read protocol", "IP:PORT"},
        {"operator", 0, POPT_ARG_STRING, &operatorListen, 0, "address for tests: POST /publish /hosts /fault /reset, GET /stats", "IP:PORT"},
        {"documents", 0, POPT_ARG_STRING, &documents, 0, "JSON object of key to value, published at start", "FILE"},
        {"hosts", 0, POPT_ARG_STRING, &hosts, 0, "JSON array of hosts at start", "FILE"},
        {"rate", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &rate, 0, "calls per second that are answered; more get 429", "CALLS"},
        {"page-bytes", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &pageBytes, 0, "bytes of values in one page of changes", "BYTES"},
    };
    if (const auto code = parseOptions(argc, argv, options)) {
        return *code;
    }
    blockSignals();
    Platform platform({static_cast<unsigned>(rate), static_cast<std::size_t>(pageBytes)});
    if (documents != nullptr) {
        const auto json = jsonFileOrExit(documents);
        for (const auto &[key, value] : json.items()) {
            platform.publish(key, value);
        }
    }
    if (hosts != nullptr) {
        platform.setHosts(jsonFileOrExit(hosts));
    }
    HttpServer reads({endpointOrExit("listen", listen)}, [&](const ServerCall &call) { return platform.answer(call); });
    HttpServer operations({endpointOrExit("operator", operatorListen)}, [&](const ServerCall &call) { return platform.operate(call); });
    for (auto *server : {&reads, &operations}) {
        if (const auto error = errorOf([&] { return server->start(); })) {
            exitWith(describe(*error));
        }
    }
    std::printf("ready\n");
    std::fflush(stdout);
    waitForSignal();
    _exit(0);
}
