// The processes of one scenario: platform, targets, nodes and links, each on an address of its own.
//
// How to use: declare data centres and links, then start. `resolve` turns the words of a step into hosts. The fleet ends
// only processes that it started. Addresses are 127.NET.x.y; NET is FESCUENOTCH_TEST_NET, 24 by default, so that two
// runs on one machine can be kept apart.
#pragma once

#include "config/documents.h"
#include "standins/httpclient.h"
#include "standins/process.h"
#include "tests/scenarios/script.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace Fescuenotch::Scenarios {

using Standins::ChildProcess;

/// A step that could not be done or an expectation that was not met.
class ScenarioFailure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

enum class ProcessState { Down, Running, Stopped };

/// A process that can be started again; each start is one life.
struct ManagedProcess {
    std::string name; ///< such as "node 1 of lk-south-1"
    std::unique_ptr<ChildProcess> child;
    ProcessState state = ProcessState::Down;
    bool mayEnd = false; ///< it was asked to end
    std::vector<std::size_t> lives; ///< offset in the log of each start, bytes
};

struct LinkEnd {
    std::string listen; ///< address that is relayed
    std::string operatorAddress;
    std::string to;
    ManagedProcess process;
};

struct Host {
    std::string dataCentre;
    unsigned number = 0; ///< in its data centre, from 1
    std::string service;
    std::string ip;
    bool leaving = false; ///< as the platform's host list tells it
    ManagedProcess target;
    ManagedProcess node;
    std::unique_ptr<LinkEnd> link; ///< between node and target; null: none
    std::string label() const; ///< "1 of lk-south-1"
};

struct FleetSettings {
    std::string folder; ///< for logs, journals and documents
    unsigned firstNet = 1; ///< third part of the first data centre's addresses
};

class Fleet
{
public:
    explicit Fleet(const FleetSettings &settings);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    ~Fleet();

    void addHosts(const std::string &dataCentre, unsigned count, const std::string &service);
    void addPlatformLink(const std::string &dataCentre);
    void addTargetLink(const ProcessSet &target);

    void start(const ProcessSet &set);
    void signal(const ProcessSet &set, int number, ProcessState after);
    void setLink(const LinkName &name, const nlohmann::json &fault);
    void setTarget(const ProcessSet &set, const nlohmann::json &fault);

    std::vector<Host *> resolve(const ProcessSet &set);
    /// Hosts of the set whose node runs; a ScenarioFailure when a node named singly does not.
    std::vector<Host *> runningNodes(const ProcessSet &set);
    std::deque<Host> &hosts();
    ManagedProcess &platform();
    Standins::HttpClient &http();

    std::string platformOperator() const; ///< URL
    std::string callerUrl(const Host &host) const;
    std::string operatorUrl(const Host &host) const;
    std::string journalOf(const Host &host) const;
    std::string logOf(const ManagedProcess &process) const;
    std::string targetAddress(const Host &host) const; ///< as the service document names it
    /// Processes that ended though nobody asked them to, with the end of their log.
    std::vector<std::string> unexpectedEnds();
    std::vector<ManagedProcess *> all();

    unsigned slots = 20; ///< of each target
    std::string serviceTime = "fixed:0"; ///< of each target
    std::vector<std::string> nodeFlags; ///< more flags of each node

private:
    ManagedProcess &processOf(Host &host, ProcessKind kind);
    void launch(ManagedProcess &process, const std::string &program, const std::vector<std::string> &args, const std::string &readyText);
    void startPlatform();
    void startTarget(Host &host);
    void startNode(Host &host);
    void startLink(LinkEnd &link);
    std::unique_ptr<LinkEnd> makeLink(const std::string &name, const std::string &listenIp, const std::string &to);
    LinkEnd &findLink(const LinkName &name);
    std::string address(unsigned net, unsigned host) const;
    std::string platformUrl(const std::string &dataCentre) const;
    bool isReader(const Host &host);

    FleetSettings m_settings;
    std::string m_netPrefix; ///< "127.24."
    std::vector<std::string> m_dataCentres;
    std::deque<Host> m_hosts;
    ManagedProcess m_platform;
    std::map<std::string, std::unique_ptr<LinkEnd>> m_platformLinks; ///< by data centre
    Standins::HttpClient m_http;
};

} // namespace Fescuenotch::Scenarios
