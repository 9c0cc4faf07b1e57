// Runs several nodes of a mesh in this process, each with its own loopback address and a fake target, and one fake store that
// all of them read.
//
// How to use: use MeshFixture as the fixture of a test suite; call `addNode` for each host, `publish` routes, `waitReady`; then
// send requests with `get`, `post` or a RawSocket to `callerEndpoint(n)`. Targets answer 200 with "from ID" unless
// `setBehaviour` gives them another function of the request.
//
// The header names are different from the platform's, so that a test fails if the product uses a fixed name instead
// of the one of its adapter.
#pragma once

#include "forward/meshnode.h"
#include "standins/httpserver.h"
#include "tests/support/crashingtarget.h"
#include "tests/support/storestandin.h"

#include <atomic>
#include <thread>

namespace Fescuenotch::Tests {

/// Uses the platform's documents, but the header names of this fixture.
std::unique_ptr<PlatformAdapter> makeFixtureAdapter(const DeploymentSettings &settings);

/// A request as a target received it.
struct ReceivedRequest {
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
    std::string targetId;
    TimePoint at;
};

class TargetStandin
{
public:
    using Behaviour = std::function<Standins::ServerReply(const Standins::ServerCall &)>;
    TargetStandin(std::string id, const Endpoint &endpoint);
    void setBehaviour(Behaviour behaviour); ///< replaces the answer 200 with "from ID"
    std::vector<ReceivedRequest> requests() const;
    unsigned abandonedRequests() const
    {
        return m_abandonedRequests;
    }
    /// An answer with this target's signature and the request's id.
    Standins::ServerReply validReply(const Standins::ServerCall &call, const std::string &body) const;
    /// A valid reply after `delay`; returns early if the connection is closed, and counts that in `abandonedRequests`.
    Standins::ServerReply delayedReply(const Standins::ServerCall &call, milliseconds delay);

private:
    Standins::ServerReply answer(const Standins::ServerCall &call);

    std::string m_id;
    mutable std::mutex m_mutex;
    Behaviour m_behaviour;
    std::vector<ReceivedRequest> m_requests;
    std::atomic<unsigned> m_abandonedRequests{0};
    std::unique_ptr<Standins::HttpServer> m_server;
};

class MeshFixture
{
public:
    MeshFixture();
    ~MeshFixture();

    /// Adds a host with a node and a target of `service`.
    void addNode(const std::string &service, const std::string &dataCentre = "one");
    /// Adds a host whose target is a script that reads and writes raw bytes.
    void addRawNode(const std::string &service, RawServer::Script script);
    /// Adds a host whose target ends when it runs a request with `crashText` in it, and is back after `downFor`.
    void addCrashingNode(const std::string &service, const std::string &crashText, milliseconds downFor, std::function<void()> onCrash);
    /// Adds a host with this target; the address in `settings` is replaced by the host's.
    void addCrashingNode(const std::string &service, CrashingTargetSettings settings);
    static std::string crashingTargetAnswer(const std::string &request); ///< 200 to a request of an exit node
    std::optional<milliseconds> evacuationLimit; ///< ms; setting of the hosts added afterwards; none: they do not use evacuations
    double linkMbps = 1'000; ///< Mbit/s; link speed of the hosts added afterwards
    std::uint64_t memoryBytes = 0; ///< bytes; memory limit of the hosts added afterwards; 0: none
    /// Publishes a configuration for host "desk": /read/ (idempotent) to `readService`, /file/ (non-idempotent) to "desk",
    /// /feed/ (download) to "feed".
    void publish(std::uint64_t version, const std::string &readService = "desk", milliseconds timeout = seconds(2));
    void waitReady();
    void stopNode(std::size_t n);
    void removeNode(std::size_t n); ///< stops it and closes its sockets, as the end of its process does
    MeshNode &node(std::size_t n)
    {
        return *m_hosts[n]->node;
    }
    TargetStandin &target(std::size_t n)
    {
        return *m_hosts[n]->target;
    }
    CrashingTarget &crashingTarget(std::size_t n)
    {
        return *m_hosts[n]->crashingTarget;
    }
    Endpoint callerEndpoint(std::size_t n) const;
    Endpoint peerEndpoint(std::size_t n) const; ///< where the node accepts other nodes
    Endpoint nextTargetAddress() const; ///< of the next node that `addNode` adds
    std::string metric(std::size_t n, const std::string &line) const; ///< value of a metric as text; empty if there is none
    std::string statusOf(std::size_t n) const; ///< the page /status
    unsigned totalRequests() const; ///< requests received by all targets, without raw ones

    /// Sends one request on a new connection and returns the raw answer.
    std::string get(std::size_t n, const std::string &path, const std::string &extraHeaders = "");
    std::string post(std::size_t n, const std::string &path, const std::string &body, const std::string &extraHeaders = "");
    static std::string
    request(const std::string &method, const std::string &path, const std::string &id, const std::string &extraHeaders = "", const std::string &body = "");

private:
    unsigned m_base; ///< third byte of all addresses; declared before `store`, whose address needs it

public:
    StoreStandin store;

private:
    struct Host {
        DeploymentSettings settings;
        std::unique_ptr<TargetStandin> target;
        std::unique_ptr<RawServer> rawTarget;
        std::unique_ptr<CrashingTarget> crashingTarget;
        std::unique_ptr<MeshNode> node;
        std::thread thread;
    };

    Host &makeHost(const std::string &service, const std::string &dataCentre);
    void startNode(Host &host);

    std::vector<std::unique_ptr<Host>> m_hosts;
};

bool contains(const std::string &text, const std::string &part);
bool isComplete(const std::string &answer); ///< a head, and as many bytes of body as its Content-Length says

/// Callers that each send one request after the other on connections of their own.
class SteadyCallers
{
public:
    SteadyCallers(MeshFixture &mesh, std::size_t nodes, std::size_t callersPerNode, milliseconds pause)
    {
        for (std::size_t n = 0; n < nodes * callersPerNode; ++n) {
            m_threads.emplace_back([this, &mesh, pause, node = n % nodes] { work(mesh, node, pause); });
        }
    }

    ~SteadyCallers()
    {
        stop();
    }

    void stop()
    {
        m_stopped = true;
        for (auto &each : m_threads) {
            if (each.joinable()) {
                each.join();
            }
        }
    }

    unsigned sent() const
    {
        return m_sent;
    }
    unsigned served() const
    {
        return m_served;
    }

private:
    void work(MeshFixture &mesh, std::size_t node, milliseconds pause)
    {
        while (!m_stopped) {
            ++m_sent;
            m_served += contains(mesh.get(node, "/read/x"), "200 OK") ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
    }

    std::atomic<bool> m_stopped{false};
    std::atomic<unsigned> m_sent{0};
    std::atomic<unsigned> m_served{0};
    std::vector<std::thread> m_threads;
};

constexpr const char *RequestIdHeader = "Try-Id";
constexpr const char *SignatureHeader = "Target-Mark";
constexpr const char *NotRunHeader = "Was-Not-Run";
constexpr const char *TimeLeftHeader = "Time-Left";
constexpr const char *CallerServiceHeader = "From-Service";
constexpr const char *TargetIdHeader = "For-Target";
constexpr const char *LeavingHeader = "Is-Leaving";
constexpr const char *LeavingValue = "yes";
constexpr const char *RequestRateHeader = "Takes-Per-Second";
constexpr const char *HealthTargetIdHeader = "Target-Instance";
constexpr const char *ColdRemainingHeader = "Target-Cold-Ms";

} // namespace Fescuenotch::Tests
