#include "mesh/targetpicker.h"

#include "kernel/durations.h"
#include "mesh/uplinkpacer.h"

#include <algorithm>
#include <set>

namespace Fescuenotch {

namespace {

constexpr double ResultWeight = 0.1; ///< of one result in the share of failures
constexpr double DefaultServiceSeconds = 0.05; ///< s; before any target of a service was measured
constexpr double FailureSurcharge = 3; ///< goals; what a certain failure costs
constexpr double LateSurcharge = 1; ///< goals; what an answer behind its goal costs
constexpr double FillingSurcharge = 0.3; ///< of the service time at a target with all slots in use
constexpr double ColdFactor = 1.5; ///< of the service time while a target is cold
constexpr double BytesPerKib = 1'024;
constexpr std::size_t MostKinds = 1'024; ///< kinds of request whose size is remembered

} // namespace

TargetPicker::TargetPicker(const PickerSettings &settings)
    : m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(settings.seed | 1))
{
}

std::vector<const TargetRecord *> TargetPicker::eligible(TimePoint now, const std::vector<TargetRecord> &candidates, const PickRequest &request) const
{
    std::vector<const TargetRecord *> found;
    std::vector<const TargetRecord *> unlinked;
    for (const auto &target : candidates) {
        if (std::find(request.excluded.begin(), request.excluded.end(), target.id) != request.excluded.end()) {
            continue;
        }
        const auto it = m_targets.find(target.id);
        const bool out = it != m_targets.end() && (it->second.report.leaving || now < it->second.avoidUntil);
        if (!out) {
            const bool linked = it != m_targets.end() && it->second.linked;
            (linked ? found : unlinked).push_back(&target);
        }
    }
    return found.empty() ? unlinked : found;
}

double TargetPicker::usualService(const std::vector<TargetRecord> &candidates) const
{
    double sum = 0;
    unsigned n = 0;
    for (const auto &target : candidates) {
        const auto it = m_targets.find(target.id);
        if (it != m_targets.end() && it->second.report.meanServiceTime > microseconds(0)) {
            sum += secondsOf(it->second.report.meanServiceTime);
            ++n;
        }
    }
    return n == 0 ? DefaultServiceSeconds : sum / n;
}

double TargetPicker::waitOf(TimePoint now, const TargetRecord &target, const Knowledge &knowledge, double service) const
{
    const double limit = knowledge.report.limit > 0 ? knowledge.report.limit : std::max(1U, target.slots);
    const bool fresh = knowledge.reportedAt != TimePoint::min() && now - knowledge.reportedAt < m_settings.reportAge;
    const double told = fresh ? knowledge.report.running + knowledge.report.waiting + knowledge.sentSinceReport : knowledge.inFlight;
    const double filling = std::min(1.0, told / limit);
    const double queued = std::max(0.0, told + 1 - limit);
    return queued * service / limit + FillingSurcharge * filling * filling * service;
}

double TargetPicker::answerKib(const PickRequest &request) const
{
    const auto size = m_answerKib.find(request.kind);
    return size == m_answerKib.end() ? 0 : size->second;
}

/// Seconds for bringing the answer here.
double TargetPicker::carryTime(const TargetRecord &target, const PickRequest &request, const TargetReport &report) const
{
    if (target.address.host == m_settings.host) {
        return 0;
    }
    const double way = target.dataCentre == m_settings.dataCentre ? 0 : secondsOf(m_settings.otherDataCentre);
    const double kib = answerKib(request);
    const bool isLarge = kib * BytesPerKib > static_cast<double>(SmallAnswerBytes);
    return isLarge ? way + secondsOf(report.uplinkDelay) + kib * secondsOf(report.uplinkTimePerKib) : way;
}

/// What traffic between data centres weighs, as seconds.
double TargetPicker::acrossSurcharge(const TargetRecord &target, const PickRequest &request, double goal) const
{
    if (target.dataCentre == m_settings.dataCentre) {
        return 0;
    }
    return goal * m_settings.acrossShareOfGoal + answerKib(request) * secondsOf(m_settings.perKibAcross);
}

double TargetPicker::costOf(TimePoint now, const TargetRecord &target, const PickRequest &request, double usual) const
{
    static const Knowledge nothing;
    const auto it = m_targets.find(target.id);
    const auto &knowledge = it == m_targets.end() ? nothing : it->second;
    double service = knowledge.report.meanServiceTime > microseconds(0) ? secondsOf(knowledge.report.meanServiceTime) : usual;
    if (target.coldFor > milliseconds(0) && knowledge.report.meanServiceTime == microseconds(0)) {
        service *= ColdFactor;
    }
    const double time = service + waitOf(now, target, knowledge, service) + carryTime(target, request, knowledge.report);
    const double goal = std::max(secondsOf(request.timeToGoal), service);
    const double failed = std::max(knowledge.failureRate, knowledge.report.failureRate);
    double cost = time + failed * FailureSurcharge * goal + acrossSurcharge(target, request, goal);
    if (time > goal) {
        cost += LateSurcharge * goal;
    }
    return cost;
}

std::optional<TargetRecord> TargetPicker::choose(TimePoint now, const std::vector<TargetRecord> &candidates, const PickRequest &request)
{
    auto options = eligible(now, candidates, request);
    if (options.empty()) {
        return std::nullopt;
    }
    if (options.size() > m_settings.mostCompared) {
        std::shuffle(options.begin(), options.end(), m_random);
        options.resize(m_settings.mostCompared);
    }
    const auto usual = usualService(candidates);
    std::vector<double> costs;
    costs.reserve(options.size());
    for (const auto *target : options) {
        costs.push_back(costOf(now, *target, request, usual));
    }
    const auto cheapest = *std::min_element(costs.begin(), costs.end());
    std::vector<const TargetRecord *> near;
    for (std::size_t n = 0; n < options.size(); ++n) {
        if (costs[n] <= cheapest * m_settings.nearCheapest) {
            near.push_back(options[n]);
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, near.size() - 1);
    return *near[draw(m_random)];
}

void TargetPicker::onSent(TimePoint, const std::string &targetId)
{
    auto &knowledge = m_targets[targetId];
    ++knowledge.inFlight;
    ++knowledge.sentSinceReport;
}

void TargetPicker::onEnded(TimePoint now, const std::string &targetId, SendResult result)
{
    const auto it = m_targets.find(targetId);
    if (it == m_targets.end()) {
        return;
    }
    auto &knowledge = it->second;
    knowledge.inFlight -= knowledge.inFlight > 0 ? 1 : 0;
    if (result == SendResult::Served || result == SendResult::Failed) {
        const double sample = result == SendResult::Failed ? 1 : 0;
        knowledge.failureRate = (1 - ResultWeight) * knowledge.failureRate + ResultWeight * sample;
    } else if (result == SendResult::NotReached) {
        knowledge.avoidUntil = now + m_settings.avoidUnreachable;
    } else if (result == SendResult::NotThere) {
        knowledge.avoidUntil = now + m_settings.avoidNotThere;
    }
}

void TargetPicker::onReport(TimePoint now, const std::string &targetId, const TargetReport &report)
{
    auto &knowledge = m_targets[targetId];
    knowledge.report = report;
    knowledge.reportedAt = now;
    knowledge.sentSinceReport = 0;
}

void TargetPicker::onAnswerSize(const std::string &kind, std::size_t bytes)
{
    if (m_answerKib.size() > MostKinds) {
        m_answerKib.clear();
    }
    const double kib = static_cast<double>(bytes) / BytesPerKib;
    auto &mean = m_answerKib[kind];
    mean = mean == 0 ? kib : (1 - ResultWeight) * mean + ResultWeight * kib;
}

void TargetPicker::onReachable(const std::string &targetId)
{
    auto &knowledge = m_targets[targetId];
    knowledge.avoidUntil = TimePoint::min();
    knowledge.linked = true;
}

void TargetPicker::onLinked(const std::string &targetId)
{
    m_targets[targetId].linked = true;
}

void TargetPicker::onUnreachable(TimePoint now, const std::string &targetId)
{
    auto &knowledge = m_targets[targetId];
    knowledge.linked = false;
    knowledge.avoidUntil = now + m_settings.avoidUnreachable;
}

void TargetPicker::forgetAllBut(const std::vector<TargetRecord> &known)
{
    std::set<std::string> ids;
    for (const auto &target : known) {
        ids.insert(target.id);
    }
    std::erase_if(m_targets, [&](const auto &each) { return !ids.contains(each.first) && each.second.inFlight == 0; });
}

milliseconds TargetPicker::expectedWait(TimePoint now, const std::vector<TargetRecord> &candidates) const
{
    static const Knowledge nothing;
    const auto usual = usualService(candidates);
    double best = usual;
    for (const auto &target : candidates) {
        const auto it = m_targets.find(target.id);
        const auto &knowledge = it == m_targets.end() ? nothing : it->second;
        const double service = knowledge.report.meanServiceTime > microseconds(0) ? secondsOf(knowledge.report.meanServiceTime) : usual;
        best = std::min(best, waitOf(now, target, knowledge, service));
    }
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(best));
}

} // namespace Fescuenotch
