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
#include <vector>

namespace Fescuenotch {

constexpr milliseconds ProbeLimit{500}; ///< ms for an answer, and as long again for an answer through others
constexpr milliseconds SuspicionLimit{2'000}; ///< ms for a suspect to refute
constexpr std::size_t ProbeHelpers = 3; ///< members asked to probe a silent one
constexpr milliseconds MemberComparePause{500}; ///< ms between two comparisons of member lists
constexpr milliseconds TellPause{200}; ///< ms between two notes to a member that others think it is gone
constexpr std::size_t MaxSetsPerAnswer = 16; ///< messages of one comparison; the next one brings the rest
constexpr milliseconds DeadProbePeriod{1'000}; ///< ms between probes of dead members, to find a healed partition

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
    /// Compares member lists when `hash` differs from the own.
    void onMembersHash(TimePoint now, const MemberEntry &sender, std::uint64_t hash);
    /// Tells the fleet about this node: it is new, it refutes, or it leaves.
    void announceSelf();
    /// Hosts whose probe went unanswered since the last call.
    std::vector<std::string> takeSilent();

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
    struct Helping {
        Endpoint asker;
        TimePoint until;
    };

    /// The tree that news goes down; only its origin also tells the other data centres.
    struct NewsTree {
        std::string root; ///< empty: not passed on
        bool origin = false;
        auto operator<=>(const NewsTree &) const = default;
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
    void tellIfThoughtGone(TimePoint now, const MemberEntry &sender);

    SpreadContext &m_context;
    Probe m_probe;
    std::map<std::string, Outstanding> m_probes; ///< by host
    std::map<std::string, std::vector<Helping>> m_helping; ///< by host probed for others
    std::map<std::string, TimePoint> m_told; ///< by host
    std::map<NewsTree, std::vector<MemberEntry>> m_news; ///< to pass on at the next tick
    std::vector<std::string> m_silent;
    TimePoint m_nextProbe{};
    TimePoint m_nextDeadProbe{};
    TimePoint m_lastCompare{};
    TimePoint m_nextSuspectProbe{};
};

} // namespace Fescuenotch
