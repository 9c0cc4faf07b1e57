#include "mesh/loadbalancer.h"

#include "kernel/durations.h"
#include "mesh/uplinkpacer.h"

#include <algorithm>
#include <set>

namespace Fescuenotch {

namespace {

constexpr double ResultWeight = 0.1; ///< of the newest sample in a moving average
constexpr double DefaultServiceSeconds = 0.05; ///< s; used until a target of the service has reported its mean service time
constexpr double FailureSurcharge = 3; ///< multiple of the goal; cost of a certain failure
constexpr double LateSurcharge = 1; ///< multiple of the goal; cost of missing the goal
constexpr double UtilizationSurcharge = 0.3; ///< share of the service time; cost of a target with all slots in use
constexpr double ColdFactor = 1.5; ///< multiple of the service time while a target is cold
constexpr double HarmlessGoalShare = 0.5; ///< of the time to the goal; a target that is slower may make a request late that tries it
constexpr Duration MeasurementHalfLife = milliseconds(450); ///< ms; a service time without new work counts half after this
constexpr double MinMeasurementWeight = 0.001; ///< of an old service time, so that a mean exists while no target has work
constexpr double BytesPerKib = 1'024;
constexpr std::size_t MaxKinds = 1'024; ///< bounds memory; beyond this all sizes are forgotten
constexpr std::size_t MaxLeaving = 8'192; ///< targets that said they leave; beyond this all are forgotten; above the targets of a fleet

bool isBulk(double kib)
{
    return kib * BytesPerKib > static_cast<double>(MaxSmallResponseBytes);
}

/// 0 to 1; how much a service time of this age says about the target now.
double measurementWeight(Duration age)
{
    return std::exp2(-secondsOf(age) / secondsOf(MeasurementHalfLife));
}

} // namespace

LoadBalancer::LoadBalancer(const LoadBalancerSettings &settings)
    : m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(settings.seed | 1))
{
}

std::vector<const TargetRecord *> LoadBalancer::eligible(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request) const
{
    std::vector<const TargetRecord *> found;
    std::vector<const TargetRecord *> unlinked;
    for (const auto &target : candidates) {
        if (std::find(request.excluded.begin(), request.excluded.end(), target.id) != request.excluded.end()) {
            continue;
        }
        if (hasSaidItLeaves(target)) {
            continue;
        }
        const auto it = m_targets.find(target.id);
        const bool avoided = it != m_targets.end() && (it->second.report.leaving || now < it->second.avoidUntil);
        if (!avoided) {
            const bool linked = it != m_targets.end() && it->second.linked;
            (linked ? found : unlinked).push_back(&target);
        }
    }
    return found.empty() ? unlinked : found;
}

double LoadBalancer::meanServiceTimeOf(TimePoint now, const std::vector<TargetRecord> &candidates) const
{
    double sum = 0;
    double weights = 0;
    for (const auto &target : candidates) {
        const auto it = m_targets.find(target.id);
        if (it != m_targets.end() && it->second.report.meanServiceTime > microseconds(0)) {
            const double weight = std::max(MinMeasurementWeight, measurementWeight(now - it->second.measuredAt));
            sum += weight * secondsOf(it->second.report.meanServiceTime);
            weights += weight;
        }
    }
    return weights == 0 ? DefaultServiceSeconds : sum / weights;
}

double LoadBalancer::serviceTimeOf(TimePoint now, const TargetRecord &target, const TargetStatistics &state, double defaultServiceTime, bool aged) const
{
    const double measured = secondsOf(state.report.meanServiceTime);
    if (measured == 0) {
        return target.coldRemaining > milliseconds(0) ? defaultServiceTime * ColdFactor : defaultServiceTime;
    }
    const double weight = aged && state.inFlight == 0 ? measurementWeight(now - state.measuredAt) : 1;
    return defaultServiceTime + weight * (measured - defaultServiceTime);
}

double LoadBalancer::queueDelay(TimePoint now, const TargetRecord &target, const TargetStatistics &state, double service) const
{
    const double limit = state.report.limit > 0 ? state.report.limit : std::max(1U, target.slots);
    const bool fresh = state.reportedAt != TimePoint::min() && now - state.reportedAt < m_settings.maxReportAge;
    const double load = fresh ? state.report.running + state.report.waiting + state.sentSinceReport : state.inFlight;
    const double utilization = std::min(1.0, load / limit);
    const double queued = std::max(0.0, load + 1 - limit);
    return queued * service / limit + UtilizationSurcharge * utilization * utilization * service;
}

/// In seconds, until a target that is cold according to its entry takes one more request; zero once its exit node has reported since.
double LoadBalancer::coldEntryDelay(TimePoint now, const TargetStatistics &state) const
{
    if (state.coldRate <= 0 || now >= state.cold.until() || state.reportedAt >= state.cold.learnedAt()) {
        return 0;
    }
    const double sent = state.sentSinceCold / std::max(state.coldRate, RateLimiter::ProbeRate);
    return std::max(0.0, sent - secondsOf(now - state.cold.learnedAt()));
}

/// In seconds, until the rate limit that the target states, or that holds while it is cold, allows one more request.
double LoadBalancer::rateDelay(TimePoint now, const TargetStatistics &state) const
{
    const auto &rate = state.report.requestRate;
    if (!rate) {
        return coldEntryDelay(now, state);
    }
    const double sent = state.sentSinceReport / std::max(*rate, RateLimiter::ProbeRate);
    return std::max(0.0, secondsOf(state.report.rateDelay) + sent - secondsOf(now - state.reportedAt));
}

std::optional<double> LoadBalancer::requestRateOf(const std::string &targetId) const
{
    const auto it = m_targets.find(targetId);
    return it == m_targets.end() ? std::nullopt : it->second.report.requestRate;
}

double LoadBalancer::responseKib(const std::string &kind) const
{
    const auto size = m_responseKib.find(kind);
    return size == m_responseKib.end() ? 0 : size->second;
}

std::size_t LoadBalancer::expectedResponseBytes(const std::string &kind) const
{
    return static_cast<std::size_t>(responseKib(kind) * BytesPerKib);
}

/// In seconds, until the link has sent the large responses that are ahead of this request's.
double LoadBalancer::linkDelay(const TargetRecord &target, const BalancedRequest &request, const TargetStatistics &state) const
{
    if (target.address.host == m_settings.host || !isBulk(responseKib(request.kind))) {
        return 0;
    }
    return secondsOf(state.report.uplinkDelay) + state.kibSinceReport * secondsOf(state.report.uplinkTimePerKib);
}

/// In seconds.
double LoadBalancer::transferTime(const TargetRecord &target, const BalancedRequest &request, const TargetReport &report) const
{
    if (target.address.host == m_settings.host) {
        return 0;
    }
    const double roundTrip = target.dataCentre == m_settings.dataCentre ? 0 : secondsOf(m_settings.crossDataCentreRoundTrip);
    const double kib = responseKib(request.kind);
    return isBulk(kib) ? roundTrip + kib * secondsOf(report.uplinkTimePerKib) : roundTrip;
}

/// In seconds. Stands for the price of traffic between data centres.
double LoadBalancer::crossDataCentreSurcharge(const TargetRecord &target, const BalancedRequest &request, double goal) const
{
    if (target.dataCentre == m_settings.dataCentre) {
        return 0;
    }
    return goal * m_settings.crossDataCentreGoalShare + responseKib(request.kind) * secondsOf(m_settings.crossDataCentreTimePerKib);
}

double LoadBalancer::costOf(TimePoint now, const TargetRecord &target, const BalancedRequest &request, double defaultServiceTime, bool aged) const
{
    static const TargetStatistics unknown;
    const auto it = m_targets.find(target.id);
    const auto &state = it == m_targets.end() ? unknown : it->second;
    const double measured = secondsOf(state.report.meanServiceTime);
    const bool harmless = measured < secondsOf(request.timeToGoal) * HarmlessGoalShare;
    const double service = serviceTimeOf(now, target, state, defaultServiceTime, aged || harmless);
    const double wait = std::max(queueDelay(now, target, state, service), rateDelay(now, state));
    const double time = std::max(service + wait, linkDelay(target, request, state)) + transferTime(target, request, state.report);
    const double goal = std::max(secondsOf(request.timeToGoal), service);
    const double reported = state.report.failureRate == 0 ? 0 : faded(state.report.failureRate, now - state.reportedAt);
    const double failed = std::max(state.failures.at(now), reported);
    double cost = time + failed * FailureSurcharge * goal + crossDataCentreSurcharge(target, request, goal);
    if (time > goal) {
        cost += LateSurcharge * goal;
    }
    return cost;
}

std::optional<TargetRecord> LoadBalancer::choose(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request)
{
    auto options = eligible(now, candidates, request);
    if (options.empty()) {
        return std::nullopt;
    }
    if (options.size() > m_settings.maxCompared) {
        std::shuffle(options.begin(), options.end(), m_random);
        options.resize(m_settings.maxCompared);
    }
    const auto defaultServiceTime = meanServiceTimeOf(now, candidates);
    const bool aged = std::bernoulli_distribution(m_settings.sampleShare)(m_random);
    std::vector<double> costs;
    costs.reserve(options.size());
    for (const auto *target : options) {
        costs.push_back(costOf(now, *target, request, defaultServiceTime, aged));
    }
    const auto cheapest = *std::min_element(costs.begin(), costs.end());
    const auto linkTolerance = isBulk(responseKib(request.kind)) ? secondsOf(request.timeToGoal) * m_settings.linkGoalTolerance : 0.0;
    const auto highest = std::max(cheapest * m_settings.costTolerance, cheapest + linkTolerance);
    std::vector<const TargetRecord *> cheapestTargets;
    for (std::size_t n = 0; n < options.size(); ++n) {
        if (costs[n] <= highest) {
            cheapestTargets.push_back(options[n]);
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, cheapestTargets.size() - 1);
    return *cheapestTargets[draw(m_random)];
}

void LoadBalancer::onSent(TimePoint, const std::string &targetId, const std::string &kind)
{
    auto &state = m_targets[targetId];
    ++state.inFlight;
    ++state.sentSinceReport;
    ++state.sentSinceCold;
    const auto kib = responseKib(kind);
    state.kibSinceReport += isBulk(kib) ? kib : 0;
}

void LoadBalancer::onEnded(TimePoint now, const std::string &targetId, SendResult result)
{
    const auto it = m_targets.find(targetId);
    if (it == m_targets.end()) {
        return;
    }
    auto &state = it->second;
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    if (result == SendResult::Served || result == SendResult::Failed) {
        state.failures.add(now, result == SendResult::Failed, ResultWeight);
    } else if (result == SendResult::Unreachable) {
        state.avoidUntil = now + m_settings.unreachableBackoff;
    } else if (result == SendResult::Replaced) {
        state.avoidUntil = now + m_settings.replacedBackoff;
    }
}

void LoadBalancer::onReport(TimePoint now, const std::string &targetId, const TargetReport &report)
{
    auto &state = m_targets[targetId];
    if (report.meanServiceTime != state.report.meanServiceTime || report.running > 0 || report.waiting > 0) {
        state.measuredAt = now;
    }
    state.report = report;
    state.reportedAt = now;
    state.sentSinceReport = 0;
    state.kibSinceReport = 0;
}

void LoadBalancer::onEntries(TimePoint now, const std::vector<TargetRecord> &targets, const std::function<double(const std::string &service)> &coldRateOf)
{
    for (const auto &target : targets) {
        const double rate = coldRateOf(target.service);
        const auto it = m_targets.find(target.id);
        const bool hadRate = it != m_targets.end() && it->second.coldRate > 0;
        if (rate <= 0 && !hadRate) {
            continue;
        }
        auto &state = m_targets[target.id];
        state.coldRate = rate;
        if (state.cold.onEntry(now, target)) {
            state.sentSinceCold = 0;
        }
    }
}

bool LoadBalancer::isColdBeyond(
    TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request, Duration timeLeft, bool highestPriority) const
{
    const auto options = eligible(now, candidates, request);
    return !options.empty() && std::all_of(options.begin(), options.end(), [&](const TargetRecord *target) {
        const auto it = m_targets.find(target->id);
        if (it == m_targets.end() || it->second.coldRate <= 0) {
            return false;
        }
        const auto &state = it->second;
        const double rate = std::max(state.report.requestRate.value_or(state.coldRate), RateLimiter::ProbeRate);
        const double waitOfOthers = highestPriority ? state.report.waiting / rate : 0;
        const double wait = rateDelay(now, state) - waitOfOthers;
        return wait > 0 && wait > secondsOf(timeLeft - state.report.meanServiceTime);
    });
}

void LoadBalancer::onResponseSize(const std::string &kind, std::size_t bytes)
{
    if (m_responseKib.size() > MaxKinds) {
        m_responseKib.clear();
    }
    const double kib = static_cast<double>(bytes) / BytesPerKib;
    auto &mean = m_responseKib[kind];
    mean = mean == 0 ? kib : (1 - ResultWeight) * mean + ResultWeight * kib;
}

void LoadBalancer::onTargetLeaving(const TargetRecord &target)
{
    if (m_leaving.size() >= MaxLeaving) {
        m_leaving.clear();
    }
    m_leaving[target.id] = target.startedAtMs;
}

bool LoadBalancer::hasSaidItLeaves(const TargetRecord &target) const
{
    const auto it = m_leaving.find(target.id);
    return it != m_leaving.end() && target.startedAtMs <= it->second;
}

void LoadBalancer::onReachable(const std::string &targetId)
{
    auto &state = m_targets[targetId];
    state.avoidUntil = TimePoint::min();
    state.linked = true;
}

void LoadBalancer::onLinked(const std::string &targetId)
{
    m_targets[targetId].linked = true;
}

void LoadBalancer::onUnreachable(TimePoint now, const std::string &targetId)
{
    auto &state = m_targets[targetId];
    state.linked = false;
    state.report.leaving = false; // said by a process that is gone; its successor is linked to only when it is chosen
    state.avoidUntil = now + m_settings.unreachableBackoff;
}

void LoadBalancer::retainOnly(const std::vector<TargetRecord> &known)
{
    std::set<std::string> ids;
    for (const auto &target : known) {
        ids.insert(target.id);
    }
    std::erase_if(m_targets, [&](const auto &each) { return !ids.contains(each.first) && each.second.inFlight == 0; });
}

milliseconds LoadBalancer::expectedWait(TimePoint now, const std::vector<TargetRecord> &candidates) const
{
    static const TargetStatistics unknown;
    const auto defaultServiceTime = meanServiceTimeOf(now, candidates);
    std::optional<double> best;
    for (const auto &target : candidates) {
        const auto it = m_targets.find(target.id);
        const auto &state = it == m_targets.end() ? unknown : it->second;
        const double service = state.report.meanServiceTime > microseconds(0) ? secondsOf(state.report.meanServiceTime) : defaultServiceTime;
        const double slotWait = std::min(defaultServiceTime, queueDelay(now, target, state, service));
        const double wait = std::max(slotWait, rateDelay(now, state));
        best = std::min(best.value_or(wait), wait);
    }
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(best.value_or(defaultServiceTime)));
}

} // namespace Fescuenotch
