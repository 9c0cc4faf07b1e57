// Real node processes for tests and the soak: each with a settings file as the platform writes it, a target beside it that runs
// in this process, and callers that keep their connections open.
//
// How to use: put entries and a configuration into a StoreStandin, create a NodeProcess for each host, `start`, `waitReady`; run
// a KeptCaller for each connection wanted; send signals through `process()`; then judge by `outcomes()` and the RunJournal.
// Paths end with the time that a target takes, in ms, and for large answers the bytes: /file/300, /feed/0/100000. A caller that
// reads slowly draws a CallerShape for each connection.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "standins/httpserver.h"
#include "standins/process.h"
#include "tests/support/rawsocket.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Fescuenotch::Tests {

/// Counts how often each request ran, over all targets.
class RunJournal
{
public:
    void add(const std::string &requestId);
    unsigned runs(const std::string &requestId) const;
    std::size_t total() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
};

/// What a target got while it named a limit.
struct NamedLimit {
    double perSecond = 0;
    std::optional<TimePoint> toldAt; ///< first answer with the limit
    std::vector<TimePoint> arrivals; ///< from then on
};

/// A target in the platform's manner. Its answer begins with the id of the request.
class PlatformTarget
{
public:
    PlatformTarget(std::string id, const Endpoint &endpoint, RunJournal &journal);
    void nameLimit(double perSecond); ///< in all answers until `endLimit`
    NamedLimit endLimit();

private:
    Standins::ServerReply answer(const Standins::ServerCall &call);

    std::string m_id;
    RunJournal &m_journal;
    std::mutex m_mutex; ///< guards m_limit
    std::optional<NamedLimit> m_limit;
    std::unique_ptr<Standins::HttpServer> m_server;
};

struct NodePlace {
    std::string folder; ///< of the settings file and the log
    std::string name;
    std::string address; ///< IPv4 address under which peers know the host
    std::string listenAddress; ///< IPv4 address of the node's own sockets; differs from `address` when a proxy stands before them
    std::string service = "desk";
    std::string dataCentre = "one";
    Endpoint store;
    milliseconds stopLimit{4'000}; ///< ms; from SIGTERM to SIGKILL
    double memoryMegabytes = 0; ///< MB; memory limit of the host; 0: none
    unsigned maxDescriptors = 0; ///< file descriptors of the node's process; 0: no limit is stated
};

class NodeProcess
{
public:
    explicit NodeProcess(const NodePlace &place);
    std::string settingsText(const std::string &service) const;
    void writeSettings(const std::string &text); ///< replaces the file in one step
    void start(); ///< also after an earlier process has ended; throws when it cannot be started
    bool isListening() const; ///< has read its settings and accepts connections for the health check
    bool isReady() const; ///< answers the platform's health check with 200
    bool waitReady(milliseconds limit);
    Standins::ChildProcess &process()
    {
        return m_process;
    }
    const NodePlace &place() const
    {
        return m_place;
    }
    Endpoint callerEndpoint() const;
    Endpoint peerEndpoint() const; ///< on which the node listens for peers
    Endpoint targetEndpoint() const;
    std::string settingsPath() const;
    std::string log() const; ///< of the last process
    std::string lastLogLine() const;

private:
    NodePlace m_place;
    Standins::ChildProcess m_process;
};

constexpr milliseconds AnswerLimit{8'000}; ///< ms; a caller waits longer than any time limit of the configuration

/// How a caller uses one connection.
struct CallerShape {
    std::string path;
    int receiveBuffer = 0; ///< bytes; 0: the system's
    std::size_t bytesPerSecond = 0; ///< at which answers are read; 0: as they arrive
    unsigned requests = 0; ///< the last one with "Connection: close"; 0: as many as the node takes
};

/// What a caller saw of one request.
struct CallOutcome {
    std::string id;
    std::string path;
    unsigned status = 0; ///< 0: no whole head
    bool whole = false; ///< a whole answer
    bool own = false; ///< with the bytes for this request
    bool sent = false; ///< the request was passed to the kernel, all of it
    bool closedUnread = false; ///< the node closed the connection before it read the request
    std::size_t bytes = 0; ///< received
    std::size_t wholeBytes = 0; ///< of the answer and its head; 0: no whole head
    std::size_t bytesPerSecond = 0; ///< as in CallerShape
    std::string target; ///< id, from the signature of the answer
    TimePoint sentAt;
    TimePoint beganAt; ///< first bytes of the answer
    TimePoint endedAt;
    bool began() const ///< a status line was received
    {
        return bytes > std::string_view("HTTP/1.1 200").size();
    }
    bool refused() const ///< states that the request has not run
    {
        return whole && (status == 503 || status == 429 || status == 421 || status == 408);
    }
};

/// Sends requests one after the other on a connection that it keeps open as long as the node lets it.
class KeptCaller
{
public:
    KeptCaller(std::string name, const Endpoint &node, const std::string &path);
    KeptCaller(std::string name, const Endpoint &node, std::function<CallerShape()> drawShape); ///< called for each connection
    ~KeptCaller();
    void stop(); ///< after the answer to the current request
    const std::vector<CallOutcome> &outcomes() const; ///< after `stop`

private:
    void work();
    void runConnection(const CallerShape &shape);

    std::string m_name;
    Endpoint m_node;
    std::function<CallerShape()> m_drawShape;
    std::atomic<bool> m_stopped{false};
    std::vector<CallOutcome> m_outcomes; ///< of the thread until it has ended
    std::thread m_thread;
};

/// A new folder for the files of one test, removed at the end unless `keep` was called.
class ScratchFolder
{
public:
    ScratchFolder();
    ~ScratchFolder();
    const std::string &path() const
    {
        return m_path;
    }
    void keep()
    {
        m_kept = true;
    }

private:
    std::string m_path;
    bool m_kept = false;
};

/// "VmHWM" or "VmRSS" of a process in MB.
double memoryOf(pid_t pid, const std::string &field);
std::size_t openDescriptors(pid_t pid); ///< of a process; 0 when it has ended

/// Names of the threads of a process that do not block each of SIGTERM, SIGINT and SIGHUP. While a thread waits for signals, the
/// kernel shows them as not blocked in it.
std::vector<std::string> threadsThatTakeSignals(pid_t pid);

} // namespace Fescuenotch::Tests
