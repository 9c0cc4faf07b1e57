// The members of the fleet as this node knows them: from the lagging host list, from news, and from its own findings.
//
// How to use: `applyList` for the platform's host list, `observe` for each message's sender, `merge` for news of others,
// `suspect` and `declareDead` for own findings. What comes back is news that is worth passing on.
// Order of news about a host: higher incarnation, then higher refutation, then the graver state; a copy that comes late
// or twice changes nothing. A dead or leaving host that has left the list is forgotten after `ForgetAfter`.
// Pitfall: a host that the list shows as leaving stays so until its process is replaced, even if the list takes it back.
// Pitfall: a listed host that nobody heard yet has incarnation 0 and counts as alive until a probe says otherwise.
#pragma once

#include "spread/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr seconds ListLag{10}; ///< s; the list's word on leaving may be about the process before, when this one is younger; it is then taken late
constexpr seconds ForgetAfter{60}; ///< s; how long a dead or leaving host that is not listed stays known

/// A host with its rendezvous weight; lists are sorted by weight, the highest first.
struct RankedHost {
    std::uint64_t weight = 0;
    std::string host;
    Endpoint peer;
};
std::uint64_t rendezvousWeight(const std::string &dataCentre, const std::string &host);

class Membership
{
public:
    explicit Membership(const MemberEntry &self);

    const MemberEntry &self() const;
    Endpoint selfPeer() const;
    /// Raises this node's refutation, so that its next news is newer than what is said of it.
    void refute(std::uint32_t above);
    void setLeaving();

    /// Takes a host list. Gives the hosts that it newly shows as leaving.
    std::vector<MemberEntry> applyList(TimePoint now, const HostList &list);
    /// Takes what a member says of itself. Gives it back when it was news.
    std::optional<MemberEntry> observe(TimePoint now, const MemberEntry &sender);
    /// True for a message of an earlier process at the sender's address.
    bool isStale(const MemberEntry &sender) const;
    /// Takes news of another member; gives it back when it was news here. News about this node itself is never taken.
    std::optional<MemberEntry> merge(TimePoint now, const MemberEntry &entry);
    std::optional<MemberEntry> suspect(TimePoint now, const std::string &host);
    std::optional<MemberEntry> declareDead(TimePoint now, const std::string &host);
    /// Drops what has been dead or leaving for long.
    void forget(TimePoint now);
    /// After a pause: suspicions start anew, for nobody could answer meanwhile.
    void restartSuspicions(TimePoint now);

    const MemberEntry *find(const std::string &host) const;
    std::optional<Endpoint> peerOf(const std::string &host) const;
    std::vector<std::string> suspectsSince(TimePoint before) const;
    /// Live (alive or suspect) members of a data centre with this node, sorted by rank.
    const std::vector<RankedHost> &ranked(const std::string &dataCentre) const;
    /// Data centres with at least one known member, this node's own included.
    std::vector<std::string> dataCentres() const;
    /// Every other member that fits; `anyState` also gives the dead.
    std::vector<MemberEntry> others(const std::string &dataCentre, bool anyState) const;
    std::vector<MemberEntry> dead() const;
    std::vector<MemberEntry> all() const; ///< with this node
    /// Members that are not dead, and listed ones that are: who shares the platform's rate.
    std::size_t size() const;
    std::size_t peerCount() const; ///< other members, dead or not

    /// Hash per bucket over the members that are not dead, and over all of them.
    std::vector<std::uint32_t> bucketHashes() const;
    std::uint64_t hash() const;
    /// The members of a bucket that are not dead.
    std::vector<MemberEntry> bucket(std::uint8_t index) const;
    static std::uint8_t bucketOf(const std::string &host);

private:
    struct Known {
        MemberEntry entry;
        TimePoint changedAt;
        TimePoint processAt; ///< when this incarnation became known
    };

    std::optional<MemberEntry> change(TimePoint now, const std::string &host, MemberState state);
    void set(TimePoint now, const MemberEntry &entry);
    bool isYoung(TimePoint now, const std::string &host) const; ///< its process came up less than ListLag ago
    HostState listedBefore(const std::string &host) const; ///< what the list said that was taken last
    bool learnListed(TimePoint now, const HostEntry &listed, bool wasLeaving);
    void rebuildHashes() const;

    MemberEntry m_self;
    std::map<std::string, Known> m_known; ///< other hosts, by host
    std::map<std::string, HostState> m_listed; ///< the latest host list
    mutable std::map<std::string, std::vector<RankedHost>> m_ranked; ///< cache; empty after a change
    mutable std::vector<std::uint32_t> m_hashes; ///< cache; empty after a change
};

} // namespace Fescuenotch
