// Another writer registers entries of a service that the configuration doesn't name, at the addresses of back ends that are there.
#include "../rig-2/kit.h"

using namespace Rig;

namespace {

constexpr unsigned Machines = 6;
constexpr unsigned OfBookdesk = 4;
constexpr milliseconds Down{1'300}; ///< ms; of the final fault: all processes are killed
constexpr seconds Recovery{15}; ///< s; the bound `recovery`
constexpr unsigned Requests = 100; ///< before the final fault, and again after the recovery
constexpr milliseconds Pause{30}; ///< ms; between two requests
constexpr unsigned DeadlineMs = 2'000;

/// Number of requests that are answered with success.
unsigned served(Record &record, const std::vector<Node *> &nodes, const std::string &when)
{
    unsigned ok = 0;
    std::map<std::string, unsigned> ends;
    for (unsigned n = 0; n < Requests; ++n) {
        auto *node = nodes[n % nodes.size()];
        auto socket = Socket::connect(node->outbound(), seconds(1));
        const auto attempt = newAttempt();
        socket.send(requestHead("GET", "/check/" + std::to_string(n), attempt, DeadlineMs));
        const auto answer = socket.read(milliseconds(DeadlineMs + 1'000));
        ok += answer.complete && answer.status() == 200 ? 1 : 0;
        record.line("caller at " + node->settings.name + ": " + attempt + " -> " + std::to_string(answer.status()) + " " + answer.body.substr(0, 80));
        sleepFor(Pause);
    }
    record.line(when + ": " + std::to_string(ok) + " of " + std::to_string(Requests) + " requests were served");
    return ok;
}

int test(Record &record, const std::string &folder)
{
    auto &network = *new Network;
    const Address address{network.host(250), network.store};
    auto &store = *new Store(address, record);
    const auto work = [](Backend &backend, Socket &socket, const Message &request) {
        sleepFor(milliseconds(40));
        return backend.answer(socket, request, "done by " + backend.settings().id);
    };
    const std::vector<std::string> zones{"lk-south-a", "lk-south-b", "lk-south-c"};
    std::vector<Node *> nodes;
    std::vector<Backend *> backends;
    for (unsigned n = 1; n <= Machines; ++n) {
        const std::string service = n <= OfBookdesk ? "bookdesk" : "schoolfeed";
        const auto &zone = zones[n % zones.size()];
        backends.push_back(new Backend({"i-" + std::to_string(n), service, zone, {network.host(n), network.app}, 18, true}, record, work));
        store.put("servers/i-" + std::to_string(n), backends.back()->entry());
        nodes.push_back(new Node(network, {"node-" + std::to_string(n), network.host(n), zone, service, address}, folder, record));
    }
    store.put("op/config", configuration(1, {{"r-check", "/check/", "idempotent", "bookdesk", "1s"}}, {"bookdesk", "schoolfeed"}));
    const auto startAll = [&] {
        for (auto *node : nodes) {
            node->start();
        }
        for (auto *node : nodes) {
            if (!node->waitReady(seconds(10))) {
                return false;
            }
        }
        return true;
    };
    if (!startAll()) {
        return 2;
    }
    sleepFor(seconds(4));
    const auto before = served(record, nodes, "before the final fault");
    if (before < Requests / 4) {
        return 2;
    }
    for (auto *node : nodes) {
        node->kill();
    }
    record.line("all nodes were killed");
    sleepFor(Down);
    if (!startAll()) {
        return 2;
    }
    if (withTrouble()) {
        for (unsigned n = 0; n < OfBookdesk; ++n) {
            auto entry = backends[n]->entry();
            entry["service"] = "bookdesk-admin"; // no configuration names it
            entry["born"] = unixMilliseconds();
            store.put("servers/other-" + std::to_string(n), entry);
        }
    }
    sleepFor(Recovery + seconds(1));
    const auto after = served(record, nodes, "more than `recovery` after the nodes are back");
    return after < Requests / 4 ? 1 : 0;
}

} // namespace

int main()
{
    return runCase(test);
}
