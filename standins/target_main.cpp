// Stand-in for a target: requests on --listen, an operator port for tests on --operator.
#include "standins/program.h"
#include "standins/target.h"

#include <cstdio>
#include <unistd.h>

using namespace Fescuenotch;
using namespace Fescuenotch::Standins;

namespace {

ServiceTime serviceTimeOrExit(const char *text)
{
    const auto parsed = valueOrError([&] { return parseServiceTime(text); });
    if (parsed.index() != 0) {
        exitWith("--service-time: " + describe(std::get<1>(parsed)));
    }
    return std::get<0>(parsed);
}

void startOrExit(HttpServer &server)
{
    if (const auto error = errorOf([&] { return server.start(); })) {
        exitWith(describe(*error));
    }
}

} // namespace

int main(int argc, char **argv)
{
    char *listen = nullptr;
    char *operatorListen = nullptr;
    char *journal = nullptr;
    char *serviceTime = nullptr;
    int slots = 20;
    int connections = 130;
    int coldStart = 0;
    int connectDelay = 0;
    int shed = 0;
    int linger = 1'000;
    int seed = 1;
    std::vector<poptOption> options{
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address for requests", "IP:PORT"},
        {"operator", 0, POPT_ARG_STRING, &operatorListen, 0, "address for tests: POST /fault, GET /stats", "IP:PORT"},
        {"journal", 0, POPT_ARG_STRING, &journal, 0, "file for one JSON line per start, finish and cancel", "FILE"},
        {"service-time",
         0,
         POPT_ARG_STRING,
         &serviceTime,
         0,
         "fixed:MS, uniform:LOW:HIGH, exponential:MEAN or lognormal:MEDIAN:SIGMA (default: fixed:0)",
         "SHAPE"},
        {"slots", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &slots, 0, "requests at once", "COUNT"},
        {"connections", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &connections, 0, "connections at once", "COUNT"},
        {"cold-start", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &coldStart, 0, "service times fall from ten times to one over this", "MS"},
        {"connect-delay", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &connectDelay, 0, "added to the first request of a connection", "MS"},
        {"shed", 0, POPT_ARG_NONE, &shed, 0, "refuse as not run while all slots are used, rather than wait", nullptr},
        {"drain-linger", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &linger, 0, "after SIGTERM, refuse as draining at least this long", "MS"},
        {"seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seed, 0, "of the service times", "NUMBER"},
    };
    if (const auto code = parseOptions(argc, argv, options)) {
        return *code;
    }
    blockSignals();
    TargetSettings settings;
    settings.slots = static_cast<unsigned>(slots);
    settings.serviceTime = serviceTimeOrExit(serviceTime == nullptr ? "fixed:0" : serviceTime);
    settings.coldStart = milliseconds(coldStart);
    settings.connectDelay = milliseconds(connectDelay);
    settings.shed = shed != 0;
    settings.journal = journal == nullptr ? "" : journal;
    settings.seed = static_cast<std::uint64_t>(seed);
    Target target(settings);
    HttpServer requests({endpointOrExit("listen", listen), static_cast<unsigned>(connections)}, [&](const ServerCall &call) { return target.answer(call); });
    HttpServer operations({endpointOrExit("operator", operatorListen)}, [&](const ServerCall &call) { return target.operate(call); });
    target.onRefuse = [&](bool refuse) {
        if (refuse) {
            requests.refuse();
        } else if (const auto error = errorOf([&] { return requests.start(); })) {
            exitWith(describe(*error));
        }
    };
    startOrExit(requests);
    startOrExit(operations);
    std::printf("ready\n");
    std::fflush(stdout);
    waitForSignal();
    target.drain(milliseconds(linger));
    _exit(0);
}
