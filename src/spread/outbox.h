// Collects what one event of the spread core makes this node send.
//
// How to use: `send` any number of bodies, then `take` once per event. Digests carry member news along, taken from
// `ride`; each piece of news rides on a limited number of digests.
#pragma once

#include "spread/membership.h"

#include <deque>
#include <vector>

namespace Fescuenotch {

class Outbox
{
public:
    explicit Outbox(const Membership &members);
    void send(const Endpoint &to, const ControlBody &body);
    /// The same body to several peers, encoded once.
    void sendAll(const std::vector<Endpoint> &to, const ControlBody &body);
    /// Lets news ride on the next digests.
    void ride(const MemberEntry &news);
    std::vector<ControlSend> take();

private:
    struct Rider {
        MemberEntry entry;
        unsigned left; ///< digests that it still rides on
    };

    std::vector<MemberEntry> nextRiders();

    const Membership &m_members;
    std::deque<Rider> m_riders;
    std::vector<ControlSend> m_sends;
};

} // namespace Fescuenotch
