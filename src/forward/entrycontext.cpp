#include "forward/entrycontext.h"

#include <algorithm>
#include <limits>

namespace Fescuenotch {

namespace {

constexpr std::size_t StatusClasses = 6; ///< 0xx to 5xx
constexpr std::size_t MaxCachedServices = 4'096; ///< services whose target lists are cached

LoadBalancerSettings loadBalancerSettings(const EntryDependencies &dependencies)
{
    LoadBalancerSettings settings;
    settings.dataCentre = dependencies.settings->dataCentre;
    settings.host = dependencies.settings->host;
    settings.seed = dependencies.seed;
    return settings;
}

} // namespace

EntryRequestMetrics::EntryRequestMetrics(MetricsRegistry &registry)
    : requests(registry.counter("fescuenotch_entry_requests_total", "Requests of callers."))
    , callersDisconnected(registry.counter("fescuenotch_entry_callers_left_total", "Requests whose caller closed its connection before the answer."))
    , brokenAnswers(registry.counter("fescuenotch_entry_broken_answers_total", "Answers that broke off after a part had gone to the caller."))
{
    for (const auto reason : allReasons()) {
        const Labels labels{{"reason", reasonName(reason)}};
        m_refusals[static_cast<int>(reason)]
            = &registry.counter("fescuenotch_entry_refusals_total", "Requests that the entry node answered itself, by reason.", labels);
        m_retries[static_cast<int>(reason)]
            = &registry.counter("fescuenotch_entry_repeats_total", "Requests sent to another target, by what ended the last one.", labels);
        m_reassignments[static_cast<int>(reason)]
            = &registry.counter("fescuenotch_entry_placed_again_total", "Requests given to another exit node before any target saw them.", labels);
    }
    for (std::size_t n = 0; n < StatusClasses; ++n) {
        m_answers.push_back(&registry.counter("fescuenotch_entry_answers_total", "Answers to callers.", {{"status", std::to_string(n) + "xx"}}));
    }
    for (const auto kind : {RouteKind::Idempotent, RouteKind::NotIdempotent, RouteKind::Download}) {
        m_latencies.push_back(
            &registry.histogram("fescuenotch_entry_seconds", "From the arrival of a request to its whole answer.", {{"kind", routeKindName(kind)}}));
    }
}

void EntryRequestMetrics::onAnswer(RouteKind kind, unsigned status, Duration duration)
{
    m_answers[std::min<std::size_t>(status / 100, StatusClasses - 1)]->add();
    m_latencies[static_cast<std::size_t>(kind)]->record(duration);
}

void EntryRequestMetrics::onRefusal(Reason reason)
{
    m_refusals[static_cast<int>(reason)]->add();
}

void EntryRequestMetrics::onNextStep(NextStep step, Reason reason)
{
    if (step == NextStep::Retry) {
        m_retries[static_cast<int>(reason)]->add();
    } else if (step == NextStep::Reroute) {
        m_reassignments[static_cast<int>(reason)]->add();
    }
}

EntryContext::EntryContext(const EntryDependencies &dependencies)
    : loadBalancer(loadBalancerSettings(dependencies))
    , trafficSplit(dependencies.seed)
    , retryPolicy(MeshRetrySettings{})
    , metrics(*dependencies.metrics)
    , m_dependencies(dependencies)
{
    setNodeCount(1);
}

void EntryContext::setTable(RoutingTablePtr table)
{
    m_table = std::move(table);
    updateRetryBudget();
}

EntryContext::Candidates &EntryContext::candidatesEntry(const std::string &service)
{
    if (m_candidates.size() > MaxCachedServices) {
        m_candidates.clear();
    }
    auto &entry = m_candidates[service];
    const auto *evacuations = m_dependencies.evacuations;
    const auto generation = m_dependencies.targets->generation() + 1; // 0 stands for "never filled"
    const auto evacuationsGeneration = evacuations != nullptr && evacuations->isKnown() ? evacuations->generation() + 1 : 0;
    if (entry.generation == generation && entry.evacuationsGeneration == evacuationsGeneration) {
        return entry;
    }
    entry.generation = generation;
    entry.evacuationsGeneration = evacuationsGeneration;
    entry.targets = m_dependencies.targets->ofService(service);
    entry.excluded = 0;
    if (evacuations == nullptr) {
        return entry;
    }
    if (!evacuations->isKnown()) {
        entry.targets.clear(); // each of them may be in an evacuated data centre
        return entry;
    }
    entry.excluded = std::erase_if(entry.targets, [&](const auto &target) { return evacuations->isEvacuated(target.dataCentre); });
    return entry;
}

const std::vector<TargetRecord> &EntryContext::candidates(const std::string &service)
{
    return candidatesEntry(service).targets;
}

bool EntryContext::isEvacuated(const std::string &service)
{
    const auto &entry = candidatesEntry(service);
    return entry.targets.empty() && entry.excluded > 0;
}

std::vector<std::string> EntryContext::candidatesIn(const std::string &service, const std::string &dataCentre)
{
    std::vector<std::string> ids;
    for (const auto &target : candidates(service)) {
        if (target.dataCentre == dataCentre) {
            ids.push_back(target.id);
        }
    }
    return ids;
}

std::set<std::string> EntryContext::requestedServices() const
{
    std::set<std::string> services;
    for (const auto &[service, candidates] : m_candidates) {
        services.insert(service);
    }
    return services;
}

Endpoint EntryContext::peerEndpoint(const TargetRecord &target) const
{
    return {target.address.host, m_dependencies.settings->peerListen.port};
}

bool EntryContext::isLocal(const TargetRecord &target) const
{
    return target.address == m_dependencies.settings->targetAddress;
}

std::unique_ptr<ForwardStream> EntryContext::openStream(const TargetRecord &target, ForwardRequest request, ForwardListener &listener)
{
    loadBalancer.onSent(now(), target.id, request.route);
    return isLocal(target) ? m_dependencies.localForwarder->open(std::move(request), listener)
                           : m_dependencies.links->open(peerEndpoint(target), std::move(request), listener);
}

bool EntryContext::passesQuarantine(Fingerprint fingerprint)
{
    auto &suspects = *m_dependencies.crashSuspects;
    if (!suspects.isQuarantined(fingerprint)) {
        return true;
    }
    if (!suspects.isProbeDue(now(), fingerprint) || !isProbingHost(fingerprint, m_dependencies.settings->host, targetHosts())) {
        return false;
    }
    suspects.onProbeSent(now(), fingerprint);
    return true;
}

std::vector<std::string> EntryContext::targetHosts() const
{
    std::vector<std::string> hosts;
    for (const auto &target : m_dependencies.targets->all()) {
        hosts.push_back(target.address.host);
    }
    return hosts;
}

void EntryContext::setNodeCount(std::size_t nodes)
{
    m_nodes = nodes;
    updateRetryBudget();
}

void EntryContext::updateRetryBudget()
{
    constexpr std::size_t UnknownServices = std::numeric_limits<std::size_t>::max();
    const auto &settings = *m_dependencies.settings;
    const FleetRetryBudget fleet{settings.retryShare, settings.retrySlack, settings.retryWindow};
    retryPolicy.configure(meshRetrySettingsFor(fleet, m_nodes, m_table ? m_table->configuration().services.size() : UnknownServices));
}

} // namespace Fescuenotch
