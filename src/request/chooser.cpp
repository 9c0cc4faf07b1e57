#include "request/decisions.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>

namespace Fescuenotch {

namespace {

constexpr Duration MaxEjection = seconds(60);
constexpr unsigned MaxEjectionDoublings = 6;

/// State of one target's host.
struct HostState {
    unsigned inFlight = 0; ///< attempts of this node that have not ended
    unsigned startedSinceLoad = 0; ///< attempts of this node since the last load report, which cannot include them
    TargetLoad load; ///< last reported load
    TimePoint loadTime; ///< when the load was reported
    bool loadKnown = false;
    unsigned consecutiveFailures = 0;
    unsigned ejections = 0; ///< consecutive, without a success in between
    TimePoint ejectedUntil;
    bool leaving = false; ///< reported through `onLeaving`; the load has its own flag
};

bool isFault(const AttemptResult &result)
{
    switch (result.reason) {
    case Reason::ConnectFailed:
    case Reason::LinkLost:
    case Reason::TargetBroke:
        return true;
    case Reason::DeadlinePassed:
        return result.outcome == Outcome::Unknown;
    default:
        return false;
    }
}

class TwoChoicesChooser final : public TargetChooser
{
public:
    explicit TwoChoicesChooser(const ChooserSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    std::optional<TargetEntry> choose(TimePoint now, const std::string &, const Service &service, const std::vector<std::string> &tried) override
    {
        const auto eligible = eligibleTargets(now, service);
        auto untried = eligible;
        std::erase_if(untried, [&](const TargetEntry *target) { return std::find(tried.begin(), tried.end(), target->host) != tried.end(); });
        const auto *best = pick(now, untried.empty() ? eligible : untried);
        return best == nullptr ? std::nullopt : std::optional(*best);
    }

    void onStart(TimePoint, const std::string &host) override
    {
        auto &state = m_hosts[host];
        ++state.inFlight;
        ++state.startedSinceLoad;
    }

    void onEnd(TimePoint now, const std::string &host, const AttemptResult &result) override
    {
        auto &state = m_hosts[host];
        state.inFlight -= std::min(state.inFlight, 1U);
        if (result.load.slots != 0) {
            onLoad(now, host, result.load);
        }
        if (isFault(result)) {
            recordFault(now, state);
        } else if (result.outcome == Outcome::Ran) {
            state.consecutiveFailures = 0;
            state.ejections = 0;
        }
    }

    void onLoad(TimePoint now, const std::string &host, const TargetLoad &load) override
    {
        auto &state = m_hosts[host];
        state.load = load;
        state.startedSinceLoad = 0;
        state.loadTime = now;
        state.loadKnown = true;
    }

    void onLeaving(TimePoint, const std::string &host) override
    {
        m_hosts[host].leaving = true;
    }

    void onAlive(TimePoint, const std::string &host) override
    {
        const auto inFlight = m_hosts[host].inFlight;
        m_hosts[host] = {};
        m_hosts[host].inFlight = inFlight;
    }

private:
    using Candidates = std::vector<const TargetEntry *>;

    void recordFault(TimePoint now, HostState &state) const
    {
        if (++state.consecutiveFailures < m_settings.ejectAfter) {
            return;
        }
        const auto doublings = std::min(state.ejections, MaxEjectionDoublings);
        state.ejectedUntil = now + std::min<Duration>(m_settings.ejectFor * (1U << doublings), MaxEjection);
        state.consecutiveFailures = 0;
        ++state.ejections;
    }

    /// Targets that are neither leaving nor ejected. When these are fewer than the eject floor allows, the ejected targets
    /// whose ejection ends first are added.
    Candidates eligibleTargets(TimePoint now, const Service &service)
    {
        Candidates eligible;
        Candidates ejected;
        for (const auto &target : service.targets) {
            const auto &state = m_hosts[target.host];
            if (!state.leaving && !state.load.leaving) {
                (state.ejectedUntil > now ? ejected : eligible).push_back(&target);
            }
        }
        const auto total = static_cast<double>(eligible.size() + ejected.size());
        const auto minEligible = static_cast<std::size_t>(std::ceil(total * m_settings.ejectFloor));
        std::sort(ejected.begin(), ejected.end(), [&](const auto *a, const auto *b) { return m_hosts[a->host].ejectedUntil < m_hosts[b->host].ejectedUntil; });
        for (std::size_t n = 0; n < ejected.size() && eligible.size() < minEligible; ++n) {
            eligible.push_back(ejected[n]);
        }
        return eligible;
    }

    /// Prefers targets of the own data centre with free slots, then any with free slots, then the own data centre, then any.
    const TargetEntry *pick(TimePoint now, const Candidates &all)
    {
        const auto isLocal = [&](const TargetEntry *target) { return target->dataCentre == m_settings.dataCentre; };
        const auto hasCapacity = [&](const TargetEntry *target) { return utilisation(now, *target) < 1; };
        Candidates local;
        std::copy_if(all.begin(), all.end(), std::back_inserter(local), isLocal);
        Candidates localWithCapacity;
        std::copy_if(local.begin(), local.end(), std::back_inserter(localWithCapacity), hasCapacity);
        Candidates withCapacity;
        std::copy_if(all.begin(), all.end(), std::back_inserter(withCapacity), hasCapacity);
        for (const Candidates *candidates : {&std::as_const(localWithCapacity), &std::as_const(withCapacity), &std::as_const(local), &all}) {
            if (!candidates->empty()) {
                return lessLoadedOfTwo(now, *candidates);
            }
        }
        return nullptr;
    }

    const TargetEntry *lessLoadedOfTwo(TimePoint now, const Candidates &candidates)
    {
        if (candidates.size() == 1) {
            return candidates.front();
        }
        std::uniform_int_distribution<std::size_t> pickFirst(0, candidates.size() - 1);
        std::uniform_int_distribution<std::size_t> pickSecond(0, candidates.size() - 2);
        const auto first = pickFirst(m_random);
        auto second = pickSecond(m_random);
        second += second >= first ? 1 : 0;
        const auto *a = candidates[first];
        const auto *b = candidates[second];
        return utilisation(now, *b) < utilisation(now, *a) ? b : a;
    }

    /// Requests per slot. Counts at least this node's own attempts in flight, so that a target that reports too low a load does
    /// not attract all requests.
    double utilisation(TimePoint now, const TargetEntry &target)
    {
        const auto &state = m_hosts[target.host];
        const bool isFresh = state.loadKnown && now - state.loadTime <= m_settings.loadAge;
        auto slots = target.slots;
        unsigned reported = 0;
        if (isFresh) {
            slots = state.load.slots == 0 ? slots : std::min(slots, state.load.slots);
            reported = state.load.inUse + state.load.queued + state.startedSinceLoad;
        }
        return static_cast<double>(std::max(reported, state.inFlight)) / std::max(1U, slots);
    }

    ChooserSettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, HostState> m_hosts;
};

} // namespace

std::unique_ptr<TargetChooser> makeTargetChooser(const ChooserSettings &settings)
{
    return std::make_unique<TwoChoicesChooser>(settings);
}

} // namespace Fescuenotch
