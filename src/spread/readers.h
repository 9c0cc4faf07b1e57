// Who reads the platform in this data centre. Rank is an opinion, not a lock: two views that differ cost calls only.
//
// How to use: `onBeacon` for each beacon of the own data centre; `isReader` with the ranked list of live members.
// The first `readers` ranks read. Any other node takes over when it has heard no beacon for `BeaconLimit` plus a delay
// that grows with its rank, and gives back when beacons come again. When every beacon tells that the platform has not
// answered for `PlatformLimit`, a few more ranks try, in case only those readers are cut off from it.
#pragma once

#include "spread/membership.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds BeaconLimit{2'000}; ///< ms without any beacon before the next rank takes over
constexpr milliseconds TakeoverStep{150}; ///< ms of delay per rank
constexpr seconds PlatformLimit{8}; ///< s without an answer to any reader before more ranks try

class Readers
{
public:
    Readers(unsigned readers, const MemberEntry &self);
    /// The node knows its peers from now on; silence is counted from here.
    void start(TimePoint now);
    /// True when the beacon comes from the own data centre and was news here; it is then passed on.
    bool onBeacon(TimePoint now, const BeaconBody &beacon);
    bool isReader(TimePoint now, const std::vector<RankedHost> &ranked) const;
    /// This node's rank; the list's length when it is not in the list.
    std::size_t rank(const std::vector<RankedHost> &ranked) const;
    /// After a pause: beacons could not be heard meanwhile.
    void restart(TimePoint now);

private:
    struct Heard {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint at;
        TimePoint platformAt; ///< when the platform last answered that reader
    };

    bool platformSilent(TimePoint now) const;

    unsigned m_readers;
    std::string m_host;
    std::string m_dataCentre;
    std::map<std::string, Heard> m_heard; ///< by host of the reader
    TimePoint m_newest{}; ///< the latest beacon of another reader of the own data centre
    TimePoint m_since{}; ///< start, or the end of the last pause
    bool m_started = false;
};

} // namespace Fescuenotch
