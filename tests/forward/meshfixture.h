// Some nodes of the mesh in this process, each with a target on its loopback address, and a store they all read.
//
// How to use: derive a fixture from MeshFixture, `addNode` for each host, `publish` routes, `waitReady`; send requests
// with RawSocket to `callers(n)`. Targets answer by `behaviour`, a function of the request.
// The header names here are none of the platform's: the product knows only what its adapter tells.
#pragma once

#include "forward/meshnode.h"
#include "standins/httpserver.h"
#include "tests/support/rawsocket.h"
#include "tests/support/storestandin.h"

#include <atomic>
#include <thread>

namespace Fescuenotch::Tests {

/// What a target was asked.
struct ReceivedRequest {
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
    std::string targetId;
};

class TargetStandin
{
public:
    using Behaviour = std::function<Standins::ServerReply(const Standins::ServerCall &)>;
    TargetStandin(std::string id, const Endpoint &endpoint);
    void setBehaviour(Behaviour behaviour); ///< instead of answering 200 with "from ID"
    std::vector<ReceivedRequest> requests() const;
    unsigned abandonedRequests() const
    {
        return m_abandonedRequests;
    }
    /// An answer as a sound target gives it.
    Standins::ServerReply validReply(const Standins::ServerCall &call, const std::string &body) const;
    /// As `sound`, after `delay`, unless the connection is closed before.
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

    /// A host with its node and target, both of `service`.
    void addNode(const std::string &service, const std::string &dataCentre = "one");
    /// A host whose target speaks by script, byte for byte.
    void addRawNode(const std::string &service, RawServer::Script script);
    double linkMbps = 1'000; ///< Mbit/s; of the hosts that are added next
    /// Publishes a configuration: /read/ idempotent, /file/ not, /feed/ to the service "feed", all of host "desk".
    void publish(std::uint64_t version, const std::string &readService = "desk", milliseconds timeout = seconds(2));
    void waitReady();
    void stopNode(std::size_t n);
    MeshNode &node(std::size_t n)
    {
        return *m_hosts[n]->node;
    }
    TargetStandin &target(std::size_t n)
    {
        return *m_hosts[n]->target;
    }
    Endpoint callerEndpoint(std::size_t n) const;
    Endpoint nextTargetAddress() const; ///< of the node that `addNode` makes next
    std::string metric(std::size_t n, const std::string &line) const; ///< value of a metric as text
    unsigned totalRequests() const; ///< requests that targets got

    /// One request on a connection of its own; the answer as bytes.
    std::string get(std::size_t n, const std::string &path, const std::string &extraHeaders = "");
    std::string post(std::size_t n, const std::string &path, const std::string &body, const std::string &extraHeaders = "");
    static std::string
    request(const std::string &method, const std::string &path, const std::string &id, const std::string &extraHeaders = "", const std::string &body = "");

private:
    unsigned m_base; ///< of the addresses; first, since the store has one

public:
    StoreStandin store;

private:
    struct Host {
        DeploymentSettings settings;
        std::unique_ptr<TargetStandin> target;
        std::unique_ptr<RawServer> rawTarget;
        std::unique_ptr<MeshNode> node;
        std::thread thread;
    };

    Host &makeHost(const std::string &service, const std::string &dataCentre);
    void startNode(Host &host);

    std::vector<std::unique_ptr<Host>> m_hosts;
};

constexpr const char *RequestIdHeader = "Try-Id";
constexpr const char *SignatureHeader = "Target-Mark";
constexpr const char *NotRunHeader = "Was-Not-Run";
constexpr const char *TimeLeftHeader = "Time-Left";
constexpr const char *CallerServiceHeader = "From-Service";
constexpr const char *TargetIdHeader = "For-Target";

} // namespace Fescuenotch::Tests
