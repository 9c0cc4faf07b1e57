#include "forward/meshentry.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr std::size_t StatusClasses = 6; ///< 0xx to 5xx
constexpr std::size_t MostServices = 4'096; ///< services whose targets are kept at hand

LoadBalancerSettings pickerSettings(const MeshEntryParts &parts)
{
    LoadBalancerSettings settings;
    settings.dataCentre = parts.settings->dataCentre;
    settings.host = parts.settings->host;
    settings.seed = parts.seed;
    return settings;
}

} // namespace

MeshEntryMetrics::MeshEntryMetrics(MetricsRegistry &registry)
    : requests(registry.counter("fescuenotch_entry_requests_total", "Requests of callers."))
    , callersLeft(registry.counter("fescuenotch_entry_callers_left_total", "Requests whose caller closed its connection before the answer."))
    , brokenAnswers(registry.counter("fescuenotch_entry_broken_answers_total", "Answers that broke off after a part had gone to the caller."))
{
    for (const auto reason : allReasons()) {
        const Labels labels{{"reason", reasonName(reason)}};
        m_refusals[static_cast<int>(reason)]
            = &registry.counter("fescuenotch_entry_refusals_total", "Requests that the entry node answered itself, by reason.", labels);
        m_repeats[static_cast<int>(reason)]
            = &registry.counter("fescuenotch_entry_repeats_total", "Requests sent to another target, by what ended the last one.", labels);
        m_placedAgain[static_cast<int>(reason)]
            = &registry.counter("fescuenotch_entry_placed_again_total", "Requests given to another exit node before any target saw them.", labels);
    }
    for (std::size_t n = 0; n < StatusClasses; ++n) {
        m_answers.push_back(&registry.counter("fescuenotch_entry_answers_total", "Answers to callers.", {{"status", std::to_string(n) + "xx"}}));
    }
    for (const auto kind : {RouteKind::Idempotent, RouteKind::NotIdempotent, RouteKind::Download}) {
        m_times.push_back(
            &registry.histogram("fescuenotch_entry_seconds", "From the arrival of a request to its whole answer.", {{"kind", routeKindName(kind)}}));
    }
}

void MeshEntryMetrics::onAnswer(RouteKind kind, unsigned status, Duration took)
{
    m_answers[std::min<std::size_t>(status / 100, StatusClasses - 1)]->add();
    m_times[static_cast<std::size_t>(kind)]->record(took);
}

void MeshEntryMetrics::onRefusal(Reason reason)
{
    m_refusals[static_cast<int>(reason)]->add();
}

void MeshEntryMetrics::onNext(NextStep step, Reason reason)
{
    if (step == NextStep::Retry) {
        m_repeats[static_cast<int>(reason)]->add();
    } else if (step == NextStep::Reroute) {
        m_placedAgain[static_cast<int>(reason)]->add();
    }
}

MeshEntry::MeshEntry(const MeshEntryParts &parts)
    : picker(pickerSettings(parts))
    , split(parts.seed)
    , repeats(MeshRetrySettings{})
    , metrics(*parts.metrics)
    , m_parts(parts)
{
    onFleetSize(1);
}

void MeshEntry::setTable(RoutingTablePtr table)
{
    m_table = std::move(table);
}

const std::vector<TargetRecord> &MeshEntry::candidates(const std::string &service)
{
    if (m_candidates.size() > MostServices) {
        m_candidates.clear();
    }
    auto &entry = m_candidates[service];
    const auto generation = m_parts.targets->generation() + 1; // 0 stands for "never filled"
    if (entry.generation != generation) {
        entry.generation = generation;
        entry.targets = m_parts.targets->ofService(service);
    }
    return entry.targets;
}

Endpoint MeshEntry::peerOf(const TargetRecord &target) const
{
    return {target.address.host, m_parts.settings->peerListen.port};
}

bool MeshEntry::isLocal(const TargetRecord &target) const
{
    return target.address == m_parts.settings->targetAddress;
}

std::unique_ptr<ForwardStream> MeshEntry::send(const TargetRecord &target, ForwardRequest request, ForwardListener &listener)
{
    picker.onSent(now(), target.id);
    return isLocal(target) ? m_parts.gate->open(std::move(request), listener) : m_parts.links->open(peerOf(target), std::move(request), listener);
}

void MeshEntry::onFleetSize(std::size_t nodes)
{
    const auto &allowed = *m_parts.settings;
    repeats.configure(meshRetrySettingsFor(allowed.retryShare, allowed.retrySlack, allowed.retryWindow, nodes));
}

} // namespace Fescuenotch
