#include "soak/faults.h"

#include "tests/support/arrivals.h"

#include <algorithm>
#include <csignal>
#include <numeric>
#include <thread>

namespace Fescuenotch::Soak {

namespace {

constexpr unsigned SeriesPerRound = 3;
constexpr unsigned FaultsPerSeries = 3;
constexpr milliseconds LongestGap{400}; ///< ms between two faults of a series
constexpr milliseconds LongestFault{1'500}; ///< ms
constexpr milliseconds LongestDelay{60}; ///< ms added each way by a proxy
constexpr milliseconds LongestSignalGap{250}; ///< ms between further signals during a stop
constexpr unsigned HangupsInARow = 20;
constexpr unsigned HerdsPerRound = 2;
constexpr milliseconds ShortestHerdGap{100}; ///< ms between the stops of two nodes of a herd
constexpr milliseconds LongestHerdGap{500}; ///< ms
constexpr milliseconds LongestHerdDelay{1'000}; ///< ms between two herds
constexpr unsigned HighestLimit = 8; ///< requests a second
constexpr milliseconds ToldAfter{500}; ///< ms after the first answer with a limit, from when on requests count
constexpr seconds LimitWindow{4}; ///< s
constexpr double LimitFactor = 1.5; ///< of what the limit allows in the window, plus LimitSlack requests, may arrive
constexpr double LimitSlack = 5; ///< requests
constexpr double SlotsOfTarget = 4; ///< requests that an exit node without knowledge may send after each start

unsigned draw(std::mt19937_64 &random, unsigned count)
{
    return static_cast<unsigned>(random() % count);
}

milliseconds drawTime(std::mt19937_64 &random, milliseconds longest)
{
    return milliseconds(draw(random, static_cast<unsigned>(longest.count())));
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

FaultRounds::FaultRounds(SoakFleet &fleet, std::uint64_t seed)
    : m_fleet(fleet)
    , m_seed(seed)
{
}

const std::vector<std::string> &FaultRounds::problems() const
{
    return m_problems;
}

void FaultRounds::run(RoundKind kind)
{
    ++m_round;
    std::seed_seq limitSeeds{m_seed, std::uint64_t{m_round}};
    Random random(limitSeeds);
    auto &limited = m_fleet.host(draw(random, static_cast<unsigned>(m_fleet.size())));
    const auto livesBefore = limited.life();
    if (kind == RoundKind::Planned) {
        limited.target().nameLimit(1 + draw(random, HighestLimit));
    }
    if (kind == RoundKind::Herds) {
        runHerds(random);
        return;
    }
    std::vector<std::thread> series;
    for (unsigned n = 0; n < SeriesPerRound; ++n) {
        std::seed_seq seeds{m_seed, std::uint64_t{m_round}, std::uint64_t{n}};
        series.emplace_back([this, kind, random = Random(seeds)] { runSeries(kind, random); });
    }
    for (auto &each : series) {
        each.join();
    }
    if (kind == RoundKind::Planned) {
        checkLimit(limited, limited.target().endLimit(), limited.life() - livesBefore);
    }
}

void FaultRounds::checkLimit(SoakHost &host, const Tests::NamedLimit &limit, unsigned restarts)
{
    if (!limit.toldAt) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(LimitWindow).count();
    const auto allowed = LimitFactor * limit.perSecond * seconds + LimitSlack + SlotsOfTarget * restarts;
    const auto most = Tests::mostWithin(limit.arrivals, LimitWindow, *limit.toldAt + ToldAfter);
    if (static_cast<double>(most) > allowed) {
        const std::lock_guard lock(m_mutex);
        m_problems.push_back(host.node().place().name + ": " + std::to_string(most) + " requests in 4 s to a target that names "
                             + std::to_string(limit.perSecond) + " a second, allowed " + std::to_string(allowed));
    }
}

void FaultRounds::runSeries(RoundKind kind, Random random)
{
    for (unsigned n = 0; n < FaultsPerSeries; ++n) {
        sleepFor(drawTime(random, LongestGap));
        auto &host = m_fleet.host(draw(random, static_cast<unsigned>(m_fleet.size())));
        const bool rough = kind == RoundKind::Rough && draw(random, 3) != 0;
        rough ? injectRough(host, random) : injectPlanned(host, random);
    }
}

// ---- [planned] --------------------------------------------------------------------------------------------------

void FaultRounds::injectPlanned(SoakHost &host, Random &random)
{
    switch (draw(random, 5)) {
    case 0:
        m_fleet.publish();
        return;
    case 1:
        for (unsigned n = 0; n < HangupsInARow; ++n) {
            host.signal(SIGHUP);
            sleepFor(milliseconds(draw(random, 10)));
        }
        return;
    case 2:
        faultStore(random);
        return;
    default:
        stopAndStart(host, random, draw(random, 2) == 0, true);
    }
}

void FaultRounds::stopAndStart(SoakHost &host, Random &random, bool furtherSignals, bool mustBeClean)
{
    if (!host.take()) {
        return;
    }
    host.beginStop();
    for (unsigned n = furtherSignals ? 3 : 0; n > 0; --n) {
        sleepFor(drawTime(random, LongestSignalGap));
        constexpr std::array<int, 3> Further{SIGHUP, SIGTERM, SIGINT};
        host.signal(Further[draw(random, Further.size())]);
    }
    const bool ended = host.waitForEnd(host.node().place().stopLimit);
    if (mustBeClean && (!ended || host.exitCode() != 0)) {
        const std::lock_guard lock(m_mutex);
        m_problems.push_back(host.node().place().name
                             + (ended ? ": a stop ended with status " + std::to_string(host.exitCode()) : ": a stop did not end in time"));
    }
    host.restart();
    host.release();
}

void FaultRounds::runHerds(Random random)
{
    for (unsigned herd = 0; herd < HerdsPerRound; ++herd) {
        sleepFor(drawTime(random, LongestHerdDelay));
        std::vector<unsigned> order(m_fleet.size());
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random);
        const auto count = static_cast<unsigned>(order.size());
        order.resize(count - draw(random, count / 2 + 1));
        const auto publishesAt = draw(random, static_cast<unsigned>(order.size()));
        std::vector<std::thread> stops;
        for (unsigned n = 0; n < order.size(); ++n) {
            stops.emplace_back([this, n = order[n], random]() mutable { stopAndStart(m_fleet.host(n), random, false, true); });
            sleepFor(ShortestHerdGap + drawTime(random, LongestHerdGap - ShortestHerdGap));
            if (n == publishesAt) {
                m_fleet.publish();
            }
            m_fleet.host(draw(random, count)).signal(SIGHUP);
        }
        for (auto &each : stops) {
            each.join();
        }
    }
}

void FaultRounds::faultStore(Random &random)
{
    constexpr std::array<Tests::StoreFault, 3> Kinds{Tests::StoreFault::Busy, Tests::StoreFault::Limited, Tests::StoreFault::Lost};
    m_fleet.store().fault(Kinds[draw(random, Kinds.size())]);
    sleepFor(drawTime(random, LongestFault));
    m_fleet.store().fault(Tests::StoreFault::None);
    if (draw(random, 2) == 0) {
        m_fleet.store().forgetHistory();
    }
}

// ---- [rough] ----------------------------------------------------------------------------------------------------

void FaultRounds::injectRough(SoakHost &host, Random &random)
{
    switch (draw(random, 5)) {
    case 0:
        if (host.take()) {
            host.restart(); // by SIGKILL
            host.release();
        }
        return;
    case 1:
        if (host.take()) {
            host.signal(SIGSTOP);
            sleepFor(drawTime(random, LongestFault));
            host.signal(SIGCONT);
            host.release();
        }
        return;
    case 2:
        faultLink(host.storeLink(), random);
        return;
    default:
        faultLink(host.peerLink(), random);
    }
}

void FaultRounds::faultLink(Standins::Link &link, Random &random)
{
    Standins::LinkFaults faults;
    switch (draw(random, 5)) {
    case 0:
        faults.cut = true;
        break;
    case 1:
        faults.silent = true;
        break;
    case 2:
        faults.silentBack = true;
        break;
    case 3:
        faults.delay = drawTime(random, LongestDelay);
        break;
    default:
        link.silenceOpen();
    }
    link.setFaults(faults);
    sleepFor(drawTime(random, LongestFault));
    link.setFaults({});
}

} // namespace Fescuenotch::Soak
