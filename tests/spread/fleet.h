// A few spread cores joined by an exchange in memory, with virtual time: the fixture of the spread tests.
//
// How to use: `start` hosts, `publish` a record, `run` for a while or `runUntil` a condition, and break things between:
// kill, pause, cut, lose. Every change of a node's store is checked: no version of a key may ever go down.
#pragma once

#include "memorystore.h"
#include "spread/spreadcore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch {

class Fleet
{
public:
    explicit Fleet(std::uint64_t seed = 1, SpreadWay way = SpreadWay::TreeDigest);

    /// Lists `count` hosts in data centre number `centre`, and gives them.
    std::vector<std::string> list(unsigned centre, unsigned count);
    void start(const std::string &host);
    void startAll();
    void kill(const std::string &host);
    void pause(const std::string &host);
    void resume(const std::string &host);
    void leave(const std::string &host);
    void unlist(const std::string &host);
    /// Whether data centres `a` and `b` reach each other; 0 is the platform.
    void cut(unsigned a, unsigned b, bool broken = true);
    /// The link between two hosts loses everything from now on, and tells neither.
    void silence(const std::string &a, const std::string &b);

    Version publish(const std::string &key, const std::string &value);
    /// The platform answers as it was at `revision`; 0: as it is.
    void platformStale(std::uint64_t revision);

    void run(Duration duration);
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    /// True when every running node (or those given) holds `version` of `key`.
    bool allHold(const std::string &key, Version version, std::vector<std::string> hosts = {}) const;
    bool allTrusted(std::vector<std::string> hosts = {}) const;

    bool running(const std::string &host) const;
    SpreadCore &core(const std::string &host);
    MemoryStore &store(const std::string &host);
    std::vector<std::string> hosts() const; ///< running ones
    std::vector<std::string> readersNow() const;
    /// State of `host` as `viewer` sees it; nothing when unknown.
    std::optional<MemberState> stateOf(const std::string &viewer, const std::string &host);
    TimePoint now() const;

    double loss = 0; ///< 0 to 1; share of messages lost
    bool platformDown = false;
    milliseconds retryAfter{0}; ///< ms; of a platform that is down
    unsigned platformCalls = 0;
    std::map<std::int64_t, unsigned> callsPerSecond; ///< by second of virtual time
    std::map<std::string, std::uint64_t> bytesByKind;
    std::size_t largestMessage = 0; ///< bytes
    std::vector<std::string> faults; ///< versions that went down; tests expect none
    std::function<void(SpreadSettings &)> adjust; ///< applied to each node's settings

private:
    struct Node {
        SpreadSettings settings;
        MemoryStore store;
        std::unique_ptr<SpreadCore> core;
        bool paused = false;
        TimePoint pausedAt{};
        bool watching = false;
        std::uint64_t watchAfter = 0;
        TimePoint watchUntil{};
        bool asksHosts = false;
        Version inForce;
        std::map<std::string, Version> highest; ///< by key, as seen by the check
        std::deque<std::string> inbox; ///< messages kept while it is paused
    };
    struct Message {
        std::string from;
        Endpoint to;
        std::string bytes;
    };

    void carryOut(Node &node, SpreadActions actions);
    void check(Node &node);
    void step();
    void deliver(const Message &message);
    void answerPlatform(Node &node);
    void answerWatch(Node &node);
    bool connected(const std::string &a, const std::string &b) const;
    unsigned centreOf(const std::string &host) const;

    std::uint64_t m_seed;
    SpreadWay m_way;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_staleAt = 0;
    std::vector<Record> m_published;
    HostList m_list;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::set<std::pair<unsigned, unsigned>> m_cuts;
    std::set<std::pair<std::string, std::string>> m_silent;
    std::vector<Message> m_messages;
};

constexpr const char *Key = "profile/desk";
constexpr seconds Target{6}; ///< s; every reachable node is on the newest revision within this

/// Two data centres of six nodes that hold the first revision.
struct TwoCentres : Fleet {
    explicit TwoCentres(std::uint64_t seed = 1, SpreadWay way = SpreadWay::TreeDigest);
    ~TwoCentres();
    /// True when `hosts`, or all that run, hold `version` of the key within `limit`.
    bool reaches(Version version, const std::vector<std::string> &heldBy = {}, Duration limit = Target);

    std::vector<std::string> first;
    std::vector<std::string> second;
};

} // namespace Fescuenotch
