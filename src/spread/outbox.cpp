#include "spread/outbox.h"

#include "wire/controlcodec.h"

#include <algorithm>
#include <bit>

namespace Fescuenotch {
namespace {

constexpr unsigned RidesPerDoubling = 3; ///< digests that news rides on, for each doubling of the fleet
constexpr std::size_t MaxRiders = 256;

} // namespace

Outbox::Outbox(const Membership &members)
    : m_members(members)
{
}

void Outbox::ride(const MemberEntry &news)
{
    std::erase_if(m_riders, [&](const Rider &it) { return it.entry.host == news.host; });
    const auto doublings = static_cast<unsigned>(std::bit_width(m_members.size()));
    m_riders.push_front(Rider{news, RidesPerDoubling * doublings});
    if (m_riders.size() > MaxRiders) {
        m_riders.pop_back();
    }
}

std::vector<MemberEntry> Outbox::nextRiders()
{
    std::vector<MemberEntry> riders;
    const std::size_t n = std::min(m_riders.size(), MaxNewsPerMessage);
    for (std::size_t i = 0; i < n; ++i) {
        Rider rider = m_riders.front();
        m_riders.pop_front();
        riders.push_back(rider.entry);
        if (--rider.left > 0) {
            m_riders.push_back(rider);
        }
    }
    return riders;
}

void Outbox::send(const Endpoint &to, const ControlBody &body)
{
    sendAll({to}, body);
}

void Outbox::sendAll(const std::vector<Endpoint> &to, const ControlBody &body)
{
    if (to.empty()) {
        return;
    }
    ControlMessage message{m_members.self(), {}, body};
    if (std::holds_alternative<DigestBody>(body)) {
        message.news = nextRiders();
    }
    const std::string bytes = encodeControl(message);
    for (const auto &it : to) {
        m_sends.push_back(ControlSend{it, controlKind(body), bytes});
    }
}

std::vector<ControlSend> Outbox::take()
{
    return std::exchange(m_sends, {});
}

} // namespace Fescuenotch
