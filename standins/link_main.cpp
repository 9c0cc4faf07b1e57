// Stand-in for a network path: relays TCP from --listen to --to; faults through an operator port.
#include "standins/httpserver.h"
#include "standins/link.h"
#include "standins/program.h"

#include <cstdio>
#include <unistd.h>

using namespace Fescuenotch;
using namespace Fescuenotch::Standins;

namespace {

/// POST /fault {"cut":BOOL,"silent":BOOL,"silence_open":true,"delay_ms":N,"heal":true}; GET /stats.
ServerReply operate(Link &link, const ServerCall &call)
{
    if (call.method == "GET" && call.path == "/stats") {
        return jsonReply(200, link.stats().dump());
    }
    const auto fault = parseObject(call.body);
    if (call.method != "POST" || call.path != "/fault" || fault.is_null()) {
        return jsonReply(404, R"({"reason":"use GET /stats or POST /fault with an object"})");
    }
    auto faults = fault.value("heal", false) ? LinkFaults{} : link.faults();
    faults.cut = fault.value("cut", faults.cut);
    faults.silent = fault.value("silent", faults.silent);
    faults.delay = milliseconds(fault.value("delay_ms", faults.delay.count()));
    link.setFaults(faults);
    if (fault.value("silence_open", false)) {
        link.silenceOpen();
    }
    return jsonReply(200, "{}");
}

} // namespace

int main(int argc, char **argv)
{
    char *listen = nullptr;
    char *to = nullptr;
    char *operatorListen = nullptr;
    std::vector<poptOption> options{
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address that is relayed", "IP:PORT"},
        {"to", 0, POPT_ARG_STRING, &to, 0, "address that it is relayed to", "IP:PORT"},
        {"operator", 0, POPT_ARG_STRING, &operatorListen, 0, "address for tests: POST /fault, GET /stats", "IP:PORT"},
    };
    if (const auto code = parseOptions(argc, argv, options)) {
        return *code;
    }
    blockSignals();
    Link link(endpointOrExit("listen", listen), endpointOrExit("to", to));
    HttpServer operations({endpointOrExit("operator", operatorListen)}, [&](const ServerCall &call) { return operate(link, call); });
    for (const auto &start : {std::function([&] { return link.start(); }), std::function([&] { return operations.start(); })}) {
        if (const auto error = errorOf(start)) {
            exitWith(describe(*error));
        }
    }
    std::printf("ready\n");
    std::fflush(stdout);
    waitForSignal();
    _exit(0);
}
