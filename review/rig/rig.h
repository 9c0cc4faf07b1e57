// Stand-ins for the cases of the review: the platform's store, backends, clients, and the node processes that they meet.
//
// Everything runs on loopback addresses of one random network 127.X.Y.0 and on the real clock. Only the C++ library and POSIX are used.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Rig {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

constexpr int Held = 0; ///< exit codes of a case
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Thrown when a case cannot run; `runCase` turns it into exit code 2.
struct SetupError {
    std::string what;
};

/// The record of a case: lines with the time since its start, in record.txt and on standard output.
void openRecord(const std::string &path);
void record(const std::string &line);
void recordToFile(const std::string &line); ///< for what happens often
double secondsSinceStart();

/// Whether the disruption is to be caused (environment variable TROUBLE is not 0).
bool isTrouble();
/// Opens record.txt in the folder that `argv` names, runs `body` and returns the exit code.
int runCase(int argc, char **argv, const std::function<int()> &body);

/// "127.X.Y.N" of the random network of this run.
std::string address(unsigned number);

// ---- HTTP ---------------------------------------------------------------------------------------------------------

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool whole = false; ///< head and body arrived as the framing says
    std::string header(const std::string &name) const; ///< empty if there is none
    unsigned status() const; ///< of an answer; 0 without one
    std::string method() const;
    std::string path() const;
};

/// A connected TCP socket with blocking calls that have a time limit.
class Socket
{
public:
    explicit Socket(int fd = -1);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    ~Socket();
    static std::optional<Socket> connectTo(const std::string &host, unsigned port, milliseconds limit = milliseconds(1'000));
    bool sendAll(const std::string &bytes, milliseconds limit);
    /// Reads one message. With `headOnly` the body is left unread.
    Message read(milliseconds limit, bool headOnly = false);
    /// The body after a message that was read with `headOnly`; false: not all of `size` bytes came within the limit.
    bool readBody(std::size_t size, std::string &out, milliseconds limit);
    bool readSome(std::string &out, milliseconds limit); ///< false: closed, reset, or nothing within the limit
    bool isClosedByPeer() const; ///< end of stream or reset, without reading
    void close();
    void reset();
    int fd() const
    {
        return m_fd;
    }
    std::string lastError; ///< why the last call failed: "timeout", "closed" or "reset"

private:
    int m_fd;
    std::string m_input;
};

std::string formatAnswer(unsigned status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body);

/// Accepts connections and runs `serve` for each on a thread of its own.
class Server
{
public:
    using Serve = std::function<void(Socket &)>;
    Server(const std::string &host, unsigned port, Serve serve, int receiveBuffer = 0); ///< bytes of each connection; 0: the system's
    ~Server();
    void stop(); ///< closes the listening socket and all connections

private:
    void acceptLoop();

    int m_listener = -1;
    Serve m_serve;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::thread m_thread;
    std::vector<std::thread> m_workers;
};

// ---- the platform -------------------------------------------------------------------------------------------------

/// The platform's store, read with GET /kv-key, /kv-range and /kv-watch.
class Store
{
public:
    Store(const std::string &host, unsigned port);
    std::uint64_t put(const std::string &key, const std::string &value); ///< returns the revision; returning is the ack
    std::uint64_t remove(const std::string &key);
    const std::string &host() const
    {
        return m_host;
    }
    unsigned port() const
    {
        return m_port;
    }

private:
    struct Item {
        std::optional<std::string> value;
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
    };
    void serve(Socket &socket);
    std::string answer(const Message &request);
    std::string itemJson(const std::string &key, const Item &item) const;

    std::string m_host;
    unsigned m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 400;
    std::unique_ptr<Server> m_server; ///< last: its threads use the other members
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string type; ///< idempotent, non_idempotent or download
    unsigned timeoutMs = 1'000;
    unsigned goalMs = 500;
    unsigned priority = 1;
    std::string service;
    unsigned maxAttempts = 2;
};

struct Limits {
    unsigned maxHeaderBytes = 16'384;
    unsigned maxBodyBytes = 67'108'864;
    unsigned headerTimeoutMs = 3'000;
    unsigned idleTimeoutMs = 15'000;
};

std::string configurationJson(unsigned version, const std::vector<Route> &routes, const std::vector<std::string> &services, const Limits &limits);

/// What a backend did, for the judgement.
struct Run {
    std::string requestId;
    std::string backend;
    std::string path;
    std::size_t bodyBytes = 0;
    double at = 0; ///< s since the start of the case
};

class Journal
{
public:
    void add(const Run &run);
    std::vector<Run> runsOf(const std::string &requestId) const;
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// One host: a node process, the backend beside it, and its entry in the store, which is written about every heartbeat.
class Host
{
public:
    static constexpr unsigned ClientPort = 8141;
    static constexpr unsigned PeerPort = 8145;
    static constexpr unsigned ReadinessPort = 8140;
    static constexpr unsigned BackendPort = 8147;

    Host(Store &store, unsigned number, const std::string &zone, const std::string &service, unsigned slots = 18);
    ~Host();
    void serveBackend(Server::Serve serve, int receiveBuffer = 0); ///< before `startNode`
    void startNode();
    void signalNode(int number);
    void killNode(); ///< SIGKILL, and waits
    bool isNodeRunning();
    bool waitReady(milliseconds limit);
    void setState(const std::string &state); ///< of the entry; written at once
    void removeEntry();
    void stopBackend(); ///< it exits: its connections end and new ones are refused; its entry is not written any more
    const std::string &ip() const
    {
        return m_ip;
    }
    const std::string &id() const
    {
        return m_id;
    }

private:
    void beat();
    void writeEntry();

    Store &m_store;
    unsigned m_number;
    std::string m_ip;
    std::string m_id;
    std::string m_zone;
    std::string m_service;
    unsigned m_slots;
    std::string m_folder;
    std::string m_state = "ready";
    bool m_listed = true;
    std::uint64_t m_sequence = 0;
    std::int64_t m_bornMs = 0;
    pid_t m_pid = -1;
    std::mutex m_mutex; ///< guards the entry
    std::atomic<bool> m_stopped{false};
    std::thread m_beatThread;
    std::unique_ptr<Server> m_backend;
};

/// A new id for one client attempt.
std::string newRequestId();
/// The seal of an answer of `backend` with this body.
std::string sealOf(const std::string &backend, const std::string &body);

} // namespace Rig
