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

/// Peers may send attempts until they learn that this node is leaving. During this time the attempts are refused with the
/// outcome not-run, so that they can be retried; a closed connection would leave their outcome unknown.
constexpr Duration LeaveGracePeriod = milliseconds(1'500);
constexpr Duration DrainPollInterval = milliseconds(10);

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

struct Node::Impl final : public PeerListener {
    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<TimerService> timers = makeThreadTimerService();
    Counter &drainAborted = metrics->counter("fescuenotch_drain_cut_total", "Requests cut because the drain limit passed.");
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

    explicit Impl(const NodeSettings &given)
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

    /// What a stop waits for: `stop` closes connections of callers, and whatever these send then makes the kernel discard unread answers.
    bool isDrained() const
    {
        return inFlight() == 0 && callers->undeliveredAnswers() == 0;
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

Result<void> Node::Impl::makePlugins()
{
    BOOST_LEAF_ASSIGN(platform, makePlugin<PlatformReader>("http", context));
    BOOST_LEAF_ASSIGN(target, makePlugin<TargetClient>("http", context));
    BOOST_LEAF_ASSIGN(peers, makePlugin<PeerTransport>("tcp", context));
    BOOST_LEAF_ASSIGN(callers, makePlugin<CallerServer>("http", context));
    BOOST_LEAF_ASSIGN(operators, makePlugin<OperatorServer>("http", context));
    return {};
}

void Node::Impl::makeHandlers()
{
    exit = makeExitHandler({&settings, metrics.get(), timers.get(), target.get()});

    EntryHandlerDependencies entryDependencies;
    entryDependencies.settings = &settings;
    entryDependencies.metrics = metrics.get();
    entryDependencies.inForce = &inForce;
    entryDependencies.peers = peers.get();
    entryDependencies.incarnation = context.incarnation;
    entryDependencies.viewTrusted = [this] { return spread->viewTrusted(); };
    entryDependencies.peerOf = [this](const std::string &host) { return spread->peerOf(host); };
    entry = makeEntryHandler(entryDependencies);

    SpreadDependencies spreadDependencies;
    spreadDependencies.settings = &settings;
    spreadDependencies.metrics = metrics.get();
    spreadDependencies.timers = timers.get();
    spreadDependencies.platform = platform.get();
    spreadDependencies.peers = peers.get();
    spreadDependencies.inForce = &inForce;
    spreadDependencies.incarnation = context.incarnation;
    spreadDependencies.onTarget = [this](const TargetEntry &entryOfTarget) { exit->configure(entryOfTarget); };
    spreadDependencies.onLeaving = [this](const std::string &host) { entry->onLeaving(host); };
    spreadDependencies.onAlive = [this](const std::string &host) { entry->onAlive(host); };
    spreadDependencies.onWake = [this](TimePoint now) { exit->onWake(now); };
    spread = makeSpreadDriver(spreadDependencies);

    StatusDependencies statusDependencies;
    statusDependencies.settings = &settings;
    statusDependencies.metrics = metrics.get();
    statusDependencies.spread = spread.get();
    statusDependencies.leaving = [this] { return leaving.load(); };
    statusDependencies.inFlight = [this] { return inFlight(); };
    statusDependencies.incarnation = context.incarnation;
    pages = makeStatusPages(statusDependencies);
}

Result<void> Node::Impl::listen()
{
    BOOST_LEAF_CHECK(peers->start(*this));
    BOOST_LEAF_CHECK(callers->start(*entry));
    BOOST_LEAF_CHECK(operators->start(*pages));
    return {};
}

Node::Node(const NodeSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Node::~Node()
{
    stop();
}

Result<void> Node::start()
{
    auto &impl = *m_impl;
    registerProcessMetrics(*impl.metrics);
    BOOST_LEAF_CHECK(impl.makePlugins());
    impl.makeHandlers();
    BOOST_LEAF_CHECK(impl.listen());
    impl.spread->start();
    logEvent(LogLevel::Info, "node_started")
        .with("data_centre", impl.settings.dataCentre)
        .with("service", impl.settings.service)
        .with("incarnation", impl.context.incarnation);
    return {};
}

void Node::leave()
{
    auto &impl = *m_impl;
    impl.leaving = true;
    logEvent(LogLevel::Info, "node_leaving").with("in_flight", impl.inFlight());
    impl.entry->beginLeaving();
    impl.exit->beginLeaving();
    impl.spread->leave();
    impl.peers->sayGoodbye();
    impl.callers->stopAccepting();
    const auto start = Clock::now();
    const auto graceEnd = start + std::min<Duration>(LeaveGracePeriod, impl.settings.drainLimit);
    while (Clock::now() < start + impl.settings.drainLimit && (!impl.isDrained() || Clock::now() < graceEnd)) {
        std::this_thread::sleep_for(DrainPollInterval);
    }
    if (impl.inFlight() > 0) {
        impl.drainAborted.add(impl.inFlight());
        logEvent(LogLevel::Warning, "drain_limit_passed").with("cut", impl.inFlight()).with("remedy", "raise --drain-limit or shorten the rules' timeouts");
    }
    logEvent(LogLevel::Info, "node_left").with("undelivered_answers", impl.callers->undeliveredAnswers());
}

void Node::stop()
{
    auto &impl = *m_impl;
    if (impl.operators == nullptr) {
        impl.timers->stop();
        return;
    }
    impl.operators->stop();
    impl.callers->stop();
    if (impl.spread != nullptr) {
        impl.spread->stop();
        impl.timers->stop();
        impl.peers->stop();
        impl.exit->stop();
    }
    impl.timers->stop();
}

} // namespace Fescuenotch
