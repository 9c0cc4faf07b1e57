// Fixture with an entry handler, exit handlers with one scripted target each, and a snapshot in force.
#pragma once

#include "requestfakes.h"

namespace Fescuenotch::Testing {

struct ExitNodeFixture {
    ExitNodeFixture(const std::string &host, MetricsRegistry &metrics, TimerService &timers);

    NodeSettings settings;
    ScriptedTarget target;
    TargetEntry entry;
    std::unique_ptr<ExitHandler> handler;
};

class RequestFixture
{
public:
    RequestFixture();
    ~RequestFixture();

    /// Adds a target with its exit node, and puts a snapshot that contains it in force.
    ExitNodeFixture &addTarget(const std::string &host, unsigned slots = 4);
    void publish();
    CallerResponse call(const std::string &method, const std::string &path, const std::string &body = "", Headers headers = {});
    std::string readAll(CallerResponse &response, bool &broken) const;
    std::uint64_t count(const std::string &name, const Labels &labels) const;

    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<TimerService> timers = makeThreadTimerService();
    NodeSettings settings;
    SnapshotInForce inForce;
    InMemoryTransport transport;
    Snapshot snapshot;
    std::map<std::string, std::unique_ptr<ExitNodeFixture>> exits;
    bool trusted = true;
    std::function<bool()> callerLeft = [] { return false; };
    std::unique_ptr<EntryHandler> entry;
};

std::string headerOf(const CallerResponse &response, const std::string &name);

} // namespace Fescuenotch::Testing
