// A small fleet for the request experiments: platform, targets and a node beside each target, as processes.
//
// How to use: `start`, then send to `callerUrl(n)` (two hops) or `targetUrl(n)` (directly). All end with the object.
// Pitfall: start it from the main thread only; a child ends with the thread that started it.
#pragma once

#include "standins/httpclient.h"
#include "standins/process.h"

#include "kernel/errors.h"

#include <memory>
#include <string>
#include <vector>

namespace Fescuenotch::Bench {

struct RequestFleetSettings {
    unsigned targets = 4;
    unsigned slots = 5; ///< of each target
    milliseconds timeout{400}; ///< ms; of both rules
    std::string serviceTime = "fixed:0"; ///< as the target stand-in takes it
    bool shed = false; ///< targets refuse when their slots are used
    std::string prefix = "127.23"; ///< first two numbers of all addresses
    std::string folder; ///< logs; emptied first
};

class RequestFleet
{
public:
    explicit RequestFleet(const RequestFleetSettings &settings);
    Result<void> start(); ///< waits until every node is ready
    std::string callerUrl(unsigned number) const;
    std::string targetUrl(unsigned number) const;
    double attempts(); ///< sent by all nodes so far
    unsigned mostSlotsUsed(); ///< of any target since its start

private:
    std::string host(unsigned number) const;
    Result<void> writeDocuments() const;
    Result<void> startProcess(const std::string &program, std::vector<std::string> args);
    bool waitUntilReady();

    const RequestFleetSettings m_settings;
    std::vector<std::unique_ptr<Standins::ChildProcess>> m_processes;
    Standins::HttpClient m_client;
};

} // namespace Fescuenotch::Bench
