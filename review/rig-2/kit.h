// Stand-ins for the scripts of the second review: the platform's store, back ends, clients and the node as a process. They follow the
// users' pages (PROTOCOL.md, DEPLOY.md). Blocking sockets, one thread per connection; everything is on 127.0.0.0/8.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace Rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Writes record.txt: one line per event, with seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_lock;
    std::ofstream m_out;
    Clock::time_point m_begin = Clock::now();
};

/// False unless TROUBLE=0.
bool withTrouble();
void sleepFor(milliseconds time);
std::int64_t unixMilliseconds();

struct Address {
    std::string host;
    std::uint16_t port = 0;
    std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
};

/// Free loopback numbers 127.x.y.1 to 127.x.y.254 and ports that are the same on all of them.
class Network
{
public:
    Network();
    std::string host(unsigned n) const;
    std::uint16_t inbound = 0;
    std::uint16_t outbound = 0;
    std::uint16_t readiness = 0;
    std::uint16_t app = 0;
    std::uint16_t store = 0;

private:
    std::string m_prefix;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;
std::string headerOf(const HeaderList &headers, const std::string &name);

struct Message {
    std::string first; ///< request or status line
    HeaderList headers;
    std::string body;
    bool complete = false; ///< read to its end
    bool reset = false; ///< the connection was reset
    bool headRead = false;
    unsigned status() const;
    std::string method() const;
    std::string target() const;
};

/// A blocking connection.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();
    static Socket connect(const Address &to, milliseconds limit, int receiveBuffer = 0);
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    /// False if the connection broke or the time is up.
    bool send(const std::string &bytes, milliseconds limit = seconds(30));
    /// Head and body of the next message. `headOnly`: the body stays unread.
    Message read(milliseconds limit, bool headOnly = false, const std::string &requestMethod = "GET");
    /// Appends to `bytes` what comes: >0 bytes, 0 end, -1 broken, -2 nothing in time.
    ssize_t receive(std::string &bytes, std::size_t most, milliseconds limit);
    std::string &buffer()
    {
        return m_buffer;
    }
    bool peerClosed();
    void close();
    void reset();

private:
    int m_fd = -1;
    std::string m_buffer;
};

/// Listens and runs `serve` in a thread for each connection.
class Server
{
public:
    Server(const Address &listen, std::function<void(Socket &)> serve);
    ~Server();
    void stop();

private:
    int m_fd = -1;
    std::function<void(Socket &)> m_serve;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
};

/// The platform's store: read calls and watches.
class Store
{
public:
    Store(const Address &listen, Record &record);
    void put(const std::string &key, const nlohmann::json &value);
    void remove(const std::string &key);
    /// Goes on at another address with all that it holds; connections to the one before end.
    void move(const Address &to);
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Item> item;
    };
    void serve(Socket &socket, unsigned generation);
    std::string answer(const std::string &path, const std::map<std::string, std::string> &query, unsigned generation, unsigned &status);
    static nlohmann::json itemJson(const std::string &key, const Item &item);

    Record &m_record;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    std::atomic<std::uint64_t> m_calls = 0;
    std::atomic<unsigned> m_generation = 0; ///< rises with each move
    std::unique_ptr<Server> m_server; ///< last: its threads use the other members
};

/// One run of a request at a back end.
struct Run {
    std::string backend;
    std::string service;
    std::string attempt;
    std::string callerService;
    std::string target;
    Clock::time_point at;
};

/// A back end. `handle` gets the request's head with the body unread if `readsBody` is false.
class Backend
{
public:
    struct Settings {
        std::string id;
        std::string service;
        std::string zone;
        Address listen;
        unsigned slots = 18;
        bool readsBody = true;
    };
    /// Returns false to close the connection.
    using Handler = std::function<bool(Backend &, Socket &, const Message &)>;
    Backend(const Settings &settings, Record &record, Handler handle);
    /// What it says of itself in the store.
    nlohmann::json entry(const std::string &state = "ready") const;
    const Settings &settings() const
    {
        return m_settings;
    }
    std::vector<Run> runs();
    /// Answers 200 with the seal.
    bool answer(Socket &socket, const Message &request, const std::string &body, const std::string &framing = "length");
    void stop()
    {
        m_server.stop();
    }

private:
    void serve(Socket &socket);

    Settings m_settings;
    Record &m_record;
    Handler m_handle;
    std::int64_t m_born;
    std::mutex m_lock;
    std::vector<Run> m_runs;
    Server m_server;
};

struct NodeSettings {
    std::string name;
    std::string host;
    std::string zone;
    std::string service;
    Address store;
    double memoryMb = 260;
};

/// `target/fescuenotch node --adapter platform` as a process.
class Node
{
public:
    Node(const Network &network, NodeSettings settings, const std::string &folder, Record &record);
    ~Node();
    void start();
    void signal(int number);
    void kill();
    /// Writes the settings file anew.
    void write();
    bool isRunning();
    bool isReady();
    bool waitReady(milliseconds limit);
    std::string metrics();
    double residentMb() const;
    Address outbound() const;
    NodeSettings settings;

private:
    const Network &m_network;
    std::string m_file;
    std::string m_log;
    Record &m_record;
    pid_t m_pid = -1;
};

struct Route {
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    std::string timeout = "1000ms";
    unsigned attempts = 2;
};

nlohmann::json configuration(unsigned version, const std::vector<Route> &routes, const std::vector<std::string> &services);
std::string newAttempt();
std::string requestHead(const std::string &method, const std::string &path, const std::string &attempt, unsigned deadlineMs, const std::string &more = "");

extern const char *const HostName;

/// Runs `test` in a temporary folder; exit code 0 held, 1 broken, 2 could not run.
int runCase(const std::function<int(Record &, const std::string &folder)> &test);

} // namespace Rig
