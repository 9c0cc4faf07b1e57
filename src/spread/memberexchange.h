// Keeps the members known: probes, suspicion, news about members, and comparison of member lists.
//
// How to use: `onHeard` for every message, then one `on` per member body. `onTick` sends what is due. `probe` sends a
// digest that must be answered: after `ProbeLimit` others are asked to probe, after twice that the member is suspect,
// and after `SuspicionLimit` more it is dead unless it refutes.
// Pitfall: a member counts as up when anybody reaches it; whether this node reaches it is for its links to say.
#pragma once

#include "spread/spreadcontext.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds ProbeLimit{500}; ///< ms for an answer, and as long again for an answer through others
constexpr milliseconds SuspicionLimit{2'000}; ///< ms for a suspect to refute
constexpr milliseconds HearsaySuspicionLimit{6'000}; ///< ms; the same for one that others suspect, should their news be lost
constexpr std::size_t ProbeHelpers = 3; ///< members asked to probe a silent one
constexpr milliseconds MemberComparePause{500}; ///< ms between two comparisons of member lists
constexpr milliseconds TellPause{200}; ///< ms between two notes to a member that others think it is gone
constexpr milliseconds DeadProbePeriod{1'000}; ///< ms between probes of dead members, to find a healed partition
constexpr std::size_t DeadProbers = 4; ///< members of the whole fleet that probe one dead member in that period
constexpr milliseconds LostLinkSpread{500}; ///< ms over which the members that lost a link to the same host look after it

class MemberExchange
{
public:
    using Probe = std::function<void(const Endpoint &)>; ///< sends a digest that asks for an answer

    MemberExchange(SpreadContext &context, Probe probe);

    void onHostList(TimePoint now, const HostList &list);
    /// Takes the sender of a message; false when it is a process that has been replaced since.
    bool onHeard(TimePoint now, const MemberEntry &sender, const std::vector<MemberEntry> &news);
    void onPeerLost(TimePoint now, const Endpoint &peer);
    void onWake(TimePoint now);
    /// `reader` also probes other data centres.
    void onTick(TimePoint now, bool reader);
    void probe(TimePoint now, const MemberEntry &member);
    /// Compares member lists when the sender's differs from the own.
    void onDigest(TimePoint now, const MemberEntry &sender, const DigestBody &digest);
    /// This node knows the whole fleet: from the host list, or from a member that knows it.
    bool fleetKnown() const;
    /// Tells the fleet about this node: it is new, it refutes, or it leaves.
    void announceSelf();
    /// Hosts whose probe went unanswered since the last call.
    std::vector<std::string> takeSilent();
    /// Members that this node suspected by its own findings, so far.
    std::uint64_t suspicions() const;

    void on(TimePoint now, const MemberEntry &sender, const MemberNewsBody &body);
    void on(const MemberEntry &sender, const MemberBucketsBody &body);
    void on(TimePoint now, const MemberEntry &sender, const MemberSetBody &body);
    void on(TimePoint now, const MemberEntry &sender, const ProbeRequestBody &body);
    void on(TimePoint now, const ProbeAnswerBody &body);

private:
    enum class Stage { Direct, ThroughOthers };
    struct Outstanding {
        TimePoint sentAt;
        Stage stage = Stage::Direct;
    };
    struct Comparison {
        std::string host; ///< compared with
        TimePoint at{};
        std::size_t buckets = 0; ///< received so far
        bool peerKnows = false; ///< it knows the whole fleet
    };
    struct Helping {
        Endpoint asker;
        TimePoint until;
    };

    /// The tree that news goes down; only its origin also tells the other data centres.
    struct NewsTree {
        std::string root; ///< empty: not passed on
        bool origin = false;
        bool operator<(const NewsTree &other) const
        {
            return std::tie(root, origin) < std::tie(other.root, other.origin);
        }
    };

    NewsTree ownTree() const;
    void noteNews(const MemberEntry &entry, const NewsTree &tree);
    void takeNews(TimePoint now, const MemberEntry &entry, const NewsTree &tree);
    std::vector<Endpoint> newsTargets(const NewsTree &tree);
    void aboutSelf(const MemberEntry &entry);
    void sendNews();
    void probeSome(TimePoint now, bool reader);
    void checkProbes(TimePoint now);
    void askHelpers(const std::string &host);
    void checkSuspects(TimePoint now);
    void declareDead(TimePoint now, const std::string &host, const NewsTree &tree);
    void checkLostLinks(TimePoint now);
    void probeDead(TimePoint now);
    void tellIfThoughtGone(TimePoint now, const MemberEntry &sender);

    SpreadContext &m_context;
    Probe m_probe;
    std::map<std::string, Outstanding> m_probes; ///< by host
    std::map<std::string, std::vector<Helping>> m_helping; ///< by host probed for others
    std::map<std::string, TimePoint> m_told; ///< by host
    std::map<NewsTree, std::vector<MemberEntry>> m_news; ///< to pass on at the next tick
    std::vector<std::string> m_silent;
    std::uint64_t m_suspicions = 0;
    TimePoint m_nextProbe{};
    TimePoint m_nextDeadProbe{};
    Comparison m_comparison; ///< the last one
    bool m_fleetKnown = false;
    std::map<std::string, TimePoint> m_lost; ///< hosts whose link broke, and when to look after them
    std::map<std::string, TimePoint> m_suspected; ///< by own findings, and when they are declared dead
    TimePoint m_nextSuspectProbe{};
};

} // namespace Fescuenotch
