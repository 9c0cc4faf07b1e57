#include "node/node.h"

#include "kernel/logging.h"
#include "kernel/plugin.h"
#include "kernel/processmetrics.h"
#include "node/entryhandler.h"
#include "node/exithandler.h"
#include "node/spreaddriver.h"
#include "node/statuspage.h"
#include "plugins/interfaces.h"

#include <atomic>
#include <thread>

namespace Fescuenotch {

namespace {

/// Peers may send work until they have heard of the leaving; it is refused as not run rather than cut.
constexpr Duration LingerAfterLeave = milliseconds(1'500);
constexpr Duration DrainPoll = milliseconds(10);

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

struct Node::Parts final : public PeerListener {
    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<TimerService> timers = makeThreadTimerService();
    Counter &drainCut = metrics->counter("fescuenotch_drain_cut_total", "Requests cut because the drain limit passed.");
    NodeContext context;
    SnapshotInForce inForce;
    std::atomic<bool> leaving{false};
    std::unique_ptr<PlatformReader> platform;
    std::unique_ptr<TargetClient> target;
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<ExitHandler> exit;
    std::unique_ptr<EntryHandler> entry;
    std::unique_ptr<SpreadDriver> spread;
    std::unique_ptr<OperatorHandler> pages;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<OperatorServer> operators;

    explicit Parts(const NodeSettings &given)
        : settings(given)
        , context{&settings, metrics.get(), timers.get(), newIncarnation()}
    {
    }

    Result<void> makePlugins();
    void makeHandlers();
    Result<void> listen();

    std::size_t inFlight() const
    {
        return entry->inFlight() + exit->inFlight();
    }

    void onControl(const Endpoint &, std::string bytes) override
    {
        spread->onControl(bytes);
    }

    void onAttempt(std::shared_ptr<InboundAttempt> attempt) override
    {
        exit->onAttempt(std::move(attempt));
    }

    void onPeerLost(const Endpoint &peer) override
    {
        spread->onPeerLost(peer);
    }

    void onPeerLoad(const Endpoint &peer, const TargetLoad &load) override
    {
        entry->onLoad(peer.host, load);
    }

    void onPeerLeaving(const Endpoint &peer) override
    {
        spread->onPeerLeaving(peer);
    }

    TargetLoad localLoad() override
    {
        return exit->load();
    }
};

Result<void> Node::Parts::makePlugins()
{
    BOOST_LEAF_ASSIGN(platform, makePlugin<PlatformReader>("http", context));
    BOOST_LEAF_ASSIGN(target, makePlugin<TargetClient>("http", context));
    BOOST_LEAF_ASSIGN(peers, makePlugin<PeerTransport>("tcp", context));
    BOOST_LEAF_ASSIGN(callers, makePlugin<CallerServer>("http", context));
    BOOST_LEAF_ASSIGN(operators, makePlugin<OperatorServer>("http", context));
    return {};
}

void Node::Parts::makeHandlers()
{
    exit = makeExitHandler({&settings, metrics.get(), timers.get(), target.get()});

    EntryParts entryParts;
    entryParts.settings = &settings;
    entryParts.metrics = metrics.get();
    entryParts.inForce = &inForce;
    entryParts.peers = peers.get();
    entryParts.incarnation = context.incarnation;
    entryParts.viewTrusted = [this] { return spread->viewTrusted(); };
    entryParts.peerOf = [this](const std::string &host) { return spread->peerOf(host); };
    entry = makeEntryHandler(entryParts);

    SpreadParts spreadParts;
    spreadParts.settings = &settings;
    spreadParts.metrics = metrics.get();
    spreadParts.timers = timers.get();
    spreadParts.platform = platform.get();
    spreadParts.peers = peers.get();
    spreadParts.inForce = &inForce;
    spreadParts.incarnation = context.incarnation;
    spreadParts.onTarget = [this](const TargetEntry &entryOfTarget) { exit->configure(entryOfTarget); };
    spreadParts.onLeaving = [this](const std::string &host) { entry->onLeaving(host); };
    spreadParts.onAlive = [this](const std::string &host) { entry->onAlive(host); };
    spreadParts.onWake = [this](TimePoint now) { exit->onWake(now); };
    spread = makeSpreadDriver(spreadParts);

    StatusParts statusParts;
    statusParts.settings = &settings;
    statusParts.metrics = metrics.get();
    statusParts.spread = spread.get();
    statusParts.leaving = [this] { return leaving.load(); };
    statusParts.inFlight = [this] { return inFlight(); };
    statusParts.incarnation = context.incarnation;
    pages = makeStatusPages(statusParts);
}

Result<void> Node::Parts::listen()
{
    BOOST_LEAF_CHECK(peers->start(*this));
    BOOST_LEAF_CHECK(callers->start(*entry));
    BOOST_LEAF_CHECK(operators->start(*pages));
    return {};
}

Node::Node(const NodeSettings &settings)
    : m_parts(std::make_unique<Parts>(settings))
{
}

Node::~Node()
{
    stop();
}

Result<void> Node::start()
{
    auto &p = *m_parts;
    registerProcessMetrics(*p.metrics);
    BOOST_LEAF_CHECK(p.makePlugins());
    p.makeHandlers();
    BOOST_LEAF_CHECK(p.listen());
    p.spread->start();
    logEvent(LogLevel::Info, "node_started")
        .with("data_centre", p.settings.dataCentre)
        .with("service", p.settings.service)
        .with("incarnation", p.context.incarnation);
    return {};
}

void Node::leave()
{
    auto &p = *m_parts;
    p.leaving = true;
    logEvent(LogLevel::Info, "node_leaving").with("in_flight", p.inFlight());
    p.entry->beginLeaving();
    p.exit->beginLeaving();
    p.spread->leave();
    p.peers->sayGoodbye();
    p.callers->stopAccepting();
    const auto start = Clock::now();
    const auto lingerEnd = start + std::min<Duration>(LingerAfterLeave, p.settings.drainLimit);
    while (Clock::now() < start + p.settings.drainLimit && (p.inFlight() > 0 || Clock::now() < lingerEnd)) {
        std::this_thread::sleep_for(DrainPoll);
    }
    if (p.inFlight() > 0) {
        p.drainCut.add(p.inFlight());
        logEvent(LogLevel::Warning, "drain_limit_passed").with("cut", p.inFlight()).with("remedy", "raise --drain-limit or shorten the rules' timeouts");
    }
    logEvent(LogLevel::Info, "node_left");
}

void Node::stop()
{
    auto &p = *m_parts;
    if (p.operators == nullptr) {
        p.timers->stop();
        return;
    }
    p.operators->stop();
    p.callers->stop();
    if (p.spread != nullptr) {
        p.spread->stop();
        p.timers->stop();
        p.peers->stop();
        p.exit->stop();
    }
    p.timers->stop();
}

} // namespace Fescuenotch
