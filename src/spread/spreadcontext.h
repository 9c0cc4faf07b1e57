// What the parts of the spread core share: settings, store, members, outbox and the source of random choices.
//
// How to use: the core owns one and hands a reference to each part; no part keeps a copy of any of it.
#pragma once

#include "spread/membership.h"
#include "spread/outbox.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace Fescuenotch {

struct SpreadContext {
    SpreadContext(const SpreadSettings &s, RecordStore &records)
        : settings(s)
        , store(records)
        , members({s.self.host, s.self.port, s.dataCentre, s.service, s.incarnation, 0, MemberState::Alive})
        , outbox(members)
        , random(s.seed ^ rendezvousWeight(s.dataCentre, s.self.host) ^ s.incarnation)
    {
    }

    bool isOwn(const std::string &dataCentre) const
    {
        return dataCentre == settings.dataCentre;
    }
    const std::vector<RankedHost> &ownRanked() const
    {
        return members.ranked(settings.dataCentre);
    }
    /// At most `n` of `from`, chosen at random.
    std::vector<MemberEntry> sample(std::vector<MemberEntry> from, std::size_t n)
    {
        std::shuffle(from.begin(), from.end(), random);
        from.resize(std::min(from.size(), n));
        return from;
    }
    /// The other members outside this node's data centre.
    std::vector<MemberEntry> foreign(bool anyState) const
    {
        std::vector<MemberEntry> found;
        for (const auto &name : members.dataCentres()) {
            if (!isOwn(name)) {
                const auto some = members.others(name, anyState);
                found.insert(found.end(), some.begin(), some.end());
            }
        }
        return found;
    }

    const SpreadSettings settings;
    RecordStore &store;
    Membership members;
    Outbox outbox;
    std::mt19937_64 random;
    std::set<std::string> leavingHosts; ///< newly known since the last event
};

} // namespace Fescuenotch
