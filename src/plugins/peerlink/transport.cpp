// The peer transport over TCP: listens, dials, keeps one link for each peer and kind, ticks them all.
// Sections: [metrics] [listener] [transport] [links] [owner]
#include "kernel/logging.h"
#include "kernel/plugin.h"
#include "kernel/socketaddress.h"
#include "plugins/peerlink/link.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <set>

namespace Fescuenotch {

namespace {

constexpr std::size_t ShardCount = 8;
constexpr std::size_t LoopCount = 2;
constexpr std::size_t MaxLinks = 8'192; ///< links at once, both directions
constexpr int ListenBacklog = 1'024;
constexpr Duration FirstDialPause = milliseconds(50); ///< after a failed dial; doubles
constexpr Duration LongestDialPause = seconds(1);
constexpr Duration LateWakeThreshold = milliseconds(300); ///< a tick this late means that the process was paused
constexpr Duration FlushLimit = milliseconds(300); ///< longest wait at a stop for bytes that are not delivered
constexpr std::size_t ControlQueueLimit = 2 * 1024 * 1024; ///< bytes; more is dropped and repaired by digests
constexpr std::size_t RequestQueueLimit = 8 * 1024 * 1024; ///< bytes
constexpr std::size_t MaxKinds = 32; ///< control message kinds with a counter of their own

// ---- [metrics] --------------------------------------------------------------------------------------------------

/// Control bytes by message kind; a kind that a peer makes up is counted as "other".
class KindCounters
{
public:
    KindCounters(MetricsRegistry &metrics, std::string direction)
        : m_metrics(metrics)
        , m_direction(std::move(direction))
    {
        for (const char *kind : {"heartbeat", "other"}) {
            counter(kind);
        }
    }

    void add(const std::string &kind, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        const bool known = m_counters.contains(kind);
        const bool allowed = known || (m_counters.size() < MaxKinds && isPlain(kind));
        counter(allowed ? kind : "other").add(bytes);
    }

private:
    static bool isPlain(const std::string &kind)
    {
        return !kind.empty() && kind.size() <= 24 && kind.find_first_not_of("abcdefghijklmnopqrstuvwxyz-") == std::string::npos;
    }

    Counter &counter(const std::string &kind)
    {
        auto &slot = m_counters[kind];
        if (slot == nullptr) {
            slot = &m_metrics.counter(
                "fescuenotch_control_bytes_total", "Bytes of control messages on peer links.", {{"direction", m_direction}, {"kind", kind}});
        }
        return *slot;
    }

    MetricsRegistry &m_metrics;
    const std::string m_direction;
    std::mutex m_mutex;
    std::map<std::string, Counter *> m_counters;
};

class LinkCounters
{
public:
    explicit LinkCounters(MetricsRegistry &metrics)
        : in(metrics, "in")
        , out(metrics, "out")
        , late(metrics.counter("fescuenotch_peer_late_frames_total", "Frames of attempts that had already ended; dropped."))
        , droppedControl(metrics.counter("fescuenotch_control_dropped_total", "Control messages dropped because a link could not take them."))
        , m_metrics(metrics)
    {
        for (int n = 0; n <= static_cast<int>(LinkEnd::Stopped); ++n) {
            ended(static_cast<LinkEnd>(n));
        }
    }

    Counter &ended(LinkEnd end)
    {
        return m_metrics.counter("fescuenotch_peer_links_ended_total", "Peer links ended, by reason.", {{"reason", linkEndName(end)}});
    }

    KindCounters in;
    KindCounters out;
    Counter &late;
    Counter &droppedControl;

private:
    MetricsRegistry &m_metrics;
};

// ---- [listener] -------------------------------------------------------------------------------------------------

/// Accepts connections until it is shut down.
class Listener final : public IoHandler
{
public:
    Listener(int descriptor, std::function<void(int)> accepted)
        : m_fd(descriptor)
        , m_accepted(std::move(accepted))
    {
    }

    ~Listener() override
    {
        close(m_fd);
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    int descriptor() const override
    {
        return m_fd;
    }

    bool onEvent(bool, bool) override
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return errno != EINVAL;
            }
            m_accepted(fd);
        }
    }

private:
    int m_fd;
    std::function<void(int)> m_accepted;
};

Result<int> listenOn(const Endpoint &endpoint)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto addr = socketAddress(endpoint);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&addr), sizeof addr) != 0 || listen(fd, ListenBacklog) != 0) {
        const std::string why = std::strerror(errno);
        close(fd);
        return fail(ErrorKind::ListenFailed, "--peer-listen " + toString(endpoint) + ": " + why, "choose a free address of this host");
    }
    return fd;
}

// ---- [transport] ------------------------------------------------------------------------------------------------

/// Stands for the link of an attempt that could not even be dialed.
class NoLink final : public AttemptLink
{
public:
    bool send(std::string) override
    {
        return false;
    }
    void forget(std::uint64_t) override
    {
    }
};

using LinkKey = std::pair<Endpoint, Wire::LinkKind>;

/// Links that this node dialed, and the pause after a dial that failed.
struct Shard {
    struct Slot {
        std::shared_ptr<Link> link;
        Duration pause{0};
        TimePoint notBefore;
    };
    std::mutex mutex;
    std::map<LinkKey, Slot> slots;
    std::map<Endpoint, std::weak_ptr<Link>> accepted; ///< control links that peers dialed
};

class TcpPeerTransport final : public PeerTransport, public LinkOwner
{
public:
    explicit TcpPeerTransport(const NodeContext &context)
        : m_settings(*context.settings)
        , m_timers(*context.timers)
        , m_incarnation(context.incarnation)
        , m_counters(*context.metrics)
    {
        context.metrics->gauge("fescuenotch_peer_links", "Peer links open now.", {}, [this] { return static_cast<double>(m_linkCount.load()); });
    }

    ~TcpPeerTransport() override
    {
        stop();
    }

    TcpPeerTransport(const TcpPeerTransport &) = delete;
    TcpPeerTransport &operator=(const TcpPeerTransport &) = delete;

    Result<void> start(PeerListener &listener) override
    {
        m_listener = &listener;
        BOOST_LEAF_AUTO(fd, listenOn(m_settings.peerListen));
        m_loops[0].add(std::make_shared<Listener>(fd, [this](int accepted) { onAccepted(accepted); }), false);
        m_tick = m_timers.every(m_settings.heartbeatPeriod / 2, [this](TimePoint now) { tick(now); });
        m_timers.onLateWake(LateWakeThreshold, [this](TimePoint now, Duration) {
            for (const auto &link : links()) {
                link->onWake(now);
            }
        });
        return {};
    }

    bool sendControl(const Endpoint &to, const std::string &kind, std::string bytes) override
    {
        const auto frame = encodeControl(kind, bytes);
        const auto n = frame.size();
        const auto link = controlLink(to);
        if (link == nullptr || !link->sendMessage(frame)) {
            m_counters.droppedControl.add();
            return false;
        }
        m_counters.out.add(kind, n);
        return true;
    }

    std::unique_ptr<OutboundAttempt> open(const Endpoint &to, const AttemptHead &head) override
    {
        const auto kind = head.requestClass == RequestClass::Bulk ? Wire::LinkKind::Bulk : Wire::LinkKind::Request;
        const auto link = dialedLink(to, kind);
        if (link == nullptr) {
            const auto lost = std::make_shared<OutboundState>(head.id.number, std::make_shared<NoLink>());
            lost->onLinkLost(false);
            return std::make_unique<LinkOutboundAttempt>(lost);
        }
        const auto state = std::make_shared<OutboundState>(head.id.number, link);
        link->openAttempt(state, head);
        return std::make_unique<LinkOutboundAttempt>(state);
    }

    void sayGoodbye() override
    {
        for (const auto &link : links()) {
            link->sendMessage(encodeGoodbye());
        }
    }

    void stop() override;

private:
    // ---- [links]
    Shard &shard(const Endpoint &endpoint)
    {
        return m_shards[std::hash<std::string>()(endpoint.host) % ShardCount];
    }

    LinkSettings linkSettings(Wire::LinkKind kind) const
    {
        LinkSettings settings;
        settings.self = {m_settings.peerListen, m_incarnation, m_settings.dataCentre, kind};
        settings.heartbeatPeriod = m_settings.heartbeatPeriod;
        settings.heartbeatsMissed = m_settings.heartbeatsMissed;
        settings.queueLimit = kind == Wire::LinkKind::Control ? ControlQueueLimit : RequestQueueLimit;
        return settings;
    }

    std::shared_ptr<Link> controlLink(const Endpoint &to)
    {
        {
            auto &place = shard(to);
            const std::lock_guard lock(place.mutex);
            const auto it = place.accepted.find(to);
            auto link = it == place.accepted.end() ? nullptr : it->second.lock();
            if (link != nullptr && !link->isClosed()) {
                return link;
            }
        }
        return dialedLink(to, Wire::LinkKind::Control);
    }

    /// The live link to a peer, dialed when there is none; null in the pause after a failed dial.
    std::shared_ptr<Link> dialedLink(const Endpoint &to, Wire::LinkKind kind)
    {
        std::shared_ptr<Link> link;
        {
            auto &place = shard(to);
            const std::lock_guard lock(place.mutex);
            auto &slot = place.slots[{to, kind}];
            if (slot.link != nullptr && !slot.link->isClosed()) {
                return slot.link;
            }
            if (m_stopped || Clock::now() < slot.notBefore || m_linkCount >= MaxLinks) {
                return nullptr;
            }
            slot.link = nullptr;
        }
        link = Link::dial(to, linkSettings(kind), *this, nextLoop());
        remember(link);
        auto &place = shard(to);
        const std::lock_guard lock(place.mutex);
        auto &slot = place.slots[{to, kind}];
        // Two threads may have dialed at once; the later link is used by its own thread and then idles out.
        if (slot.link == nullptr || slot.link->isClosed()) {
            slot.link = link;
        }
        return link;
    }

    IoLoop &nextLoop()
    {
        return m_loops[m_nextLoop++ % LoopCount];
    }

    void remember(const std::shared_ptr<Link> &link)
    {
        const std::lock_guard lock(m_linksMutex);
        m_links.insert(link);
        m_linkCount = m_links.size();
        if (link->isClosed()) {
            m_links.erase(link);
        }
    }

    std::vector<std::shared_ptr<Link>> links() const
    {
        const std::lock_guard lock(m_linksMutex);
        return {m_links.begin(), m_links.end()};
    }

    void onAccepted(int descriptor)
    {
        if (m_linkCount >= MaxLinks) {
            ::close(descriptor);
            m_counters.ended(LinkEnd::TooManyLinks).add();
            return;
        }
        remember(Link::accept(descriptor, linkSettings(Wire::LinkKind::Control), *this, nextLoop()));
    }

    void tick(TimePoint now)
    {
        const auto load = m_listener->localLoad();
        for (const auto &link : links()) {
            if (const auto n = link->tick(now, load); n > 0) {
                m_counters.out.add("heartbeat", n);
            }
        }
    }

    // ---- [owner]
    void onLinkReady(const std::shared_ptr<Link> &link) override
    {
        auto &place = shard(link->peer());
        const std::lock_guard lock(place.mutex);
        if (link->dialed()) {
            place.slots[{link->peer(), link->kind()}].pause = Duration{0};
        } else if (link->kind() == Wire::LinkKind::Control) {
            place.accepted[link->peer()] = link;
        }
    }

    void onLinkEnd(const std::shared_ptr<Link> &link, LinkEnd end, const std::string &detail) override
    {
        m_counters.ended(end).add();
        const auto peer = link->peer();
        const bool normal = end == LinkEnd::Idle || end == LinkEnd::Stopped;
        logEvent(normal ? LogLevel::Debug : LogLevel::Info, "peer_link_ended")
            .with("peer", toString(peer))
            .with("reason", linkEndName(end))
            .with("detail", detail);
        if (end == LinkEnd::ConnectFailed && link->dialed()) {
            pauseDials(peer, link->kind());
        }
        {
            const std::lock_guard lock(m_linksMutex);
            m_links.erase(link);
            m_linkCount = m_links.size();
        }
        if (link->kind() == Wire::LinkKind::Control && !normal && m_listener != nullptr && peer.port != 0) {
            m_listener->onPeerLost(peer);
        }
    }

    void pauseDials(const Endpoint &peer, Wire::LinkKind kind)
    {
        auto &place = shard(peer);
        const std::lock_guard lock(place.mutex);
        auto &slot = place.slots[{peer, kind}];
        slot.pause = std::clamp(slot.pause * 2, FirstDialPause, LongestDialPause);
        slot.notBefore = Clock::now() + slot.pause;
    }

    void onLinkControl(const Endpoint &from, std::string kind, std::string bytes, std::size_t frameBytes) override
    {
        m_counters.in.add(kind, frameBytes);
        m_listener->onControl(from, std::move(bytes));
    }

    void onLinkAttempt(std::shared_ptr<InboundAttempt> attempt) override
    {
        m_listener->onAttempt(std::move(attempt));
    }

    void onLinkLoad(const Endpoint &from, const TargetLoad &load, std::size_t frameBytes) override
    {
        m_counters.in.add("heartbeat", frameBytes);
        m_listener->onPeerLoad(from, load);
    }

    void onLinkGoodbye(const Endpoint &from) override
    {
        m_listener->onPeerLeaving(from);
    }

    void onLateFrame() override
    {
        m_counters.late.add();
    }

    const NodeSettings &m_settings;
    TimerService &m_timers;
    const std::uint64_t m_incarnation;
    LinkCounters m_counters;
    PeerListener *m_listener = nullptr;
    TimerId m_tick = 0;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::size_t> m_linkCount{0};
    std::atomic<std::size_t> m_nextLoop{0};
    std::array<Shard, ShardCount> m_shards;
    mutable std::mutex m_linksMutex;
    std::set<std::shared_ptr<Link>> m_links;
    std::array<IoLoop, LoopCount> m_loops; ///< last: their threads use all of the above
};

void TcpPeerTransport::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    m_timers.cancel(m_tick);
    const auto until = Clock::now() + FlushLimit;
    const auto open = links();
    const auto undelivered = [&] { return std::any_of(open.begin(), open.end(), [](const auto &link) { return link->hasUndelivered(); }); };
    while (undelivered() && Clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    for (auto &loop : m_loops) {
        loop.stop();
    }
    for (const auto &link : open) {
        link->close(LinkEnd::Stopped, "this node stops");
    }
}

const PluginRegistration<PeerTransport> registration("tcp", [](const NodeContext &context) { return std::make_unique<TcpPeerTransport>(context); });

} // namespace

} // namespace Fescuenotch
