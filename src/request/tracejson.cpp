// Index: to JSON, from JSON.
#include "request/tracejson.h"

namespace Fescuenotch::TraceJson {

namespace {

template<typename E>
int number(E value)
{
    return static_cast<int>(value);
}

Duration durationOf(const Json &json)
{
    return std::chrono::nanoseconds(json.get<std::int64_t>());
}

milliseconds millisOf(const Json &json)
{
    return milliseconds(json.get<std::int64_t>());
}

} // namespace

// ---- To JSON ----------------------------------------------------------------------------------------------------

std::int64_t of(TimePoint time)
{
    return of(time.time_since_epoch());
}

std::int64_t of(Duration duration)
{
    return std::chrono::nanoseconds(duration).count();
}

Json of(const AdmissionSettings &settings)
{
    return {{"slots", settings.slots}, {"queue_limit", settings.queueLimit}, {"slow_start", of(settings.slowStart)}, {"bulk_share", settings.bulkShare}};
}

Json of(const ChooserSettings &settings)
{
    return {{"data_centre", settings.dataCentre},
            {"eject_after", settings.ejectAfter},
            {"eject_for", of(settings.ejectFor)},
            {"eject_floor", settings.ejectFloor},
            {"load_age", of(settings.loadAge)},
            {"seed", settings.seed}};
}

Json of(const RetrySettings &settings)
{
    return {{"budget_share", settings.budgetShare},
            {"budget_min", settings.budgetMinPerSecond},
            {"backoff_base", of(settings.backoffBase)},
            {"backoff_cap", of(settings.backoffCap)},
            {"seed", settings.seed}};
}

Json of(const Ticket &ticket)
{
    return {{"id", ticket.id}, {"class", number(ticket.requestClass)}, {"deadline", of(ticket.deadline)}};
}

Json of(const AdmissionResult &result)
{
    return {{"verdict", number(result.verdict)}, {"reason", reasonName(result.reason)}, {"retry_after_ms", result.retryAfter.count()}};
}

Json of(const AdmissionChanges &changes)
{
    Json refused = Json::array();
    for (const auto &[id, result] : changes.refused) {
        refused.push_back({{"id", id}, {"result", of(result)}});
    }
    return {{"started", changes.started}, {"refused", refused}};
}

Json of(const TargetLoad &load)
{
    return {{"in_use", load.inUse}, {"slots", load.slots}, {"queued", load.queued}, {"leaving", load.leaving}};
}

Json of(const AttemptResult &result)
{
    return {{"outcome", number(result.outcome)},
            {"reason", number(result.reason)},
            {"body_started", result.bodyStarted},
            {"retried_below", result.retriedBelow},
            {"retry_after_ms", result.retryAfter.count()},
            {"load", of(result.load)}};
}

Json of(const Service &service)
{
    Json targets = Json::array();
    for (const auto &target : service.targets) {
        targets.push_back({{"host", target.host}, {"data_centre", target.dataCentre}, {"slots", target.slots}});
    }
    return targets;
}

Json of(const Rule &rule)
{
    return {{"idempotent", rule.idempotent}, {"timeout_ms", rule.timeout.count()}, {"max_attempts", rule.maxAttempts}};
}

Json of(const RetryState &state)
{
    return {{"attempts", state.attempts}, {"may_have_run", state.mayHaveRun}, {"last_backoff", of(state.lastBackoff)}, {"depth", state.depth}};
}

Json of(const RetryDecision &decision)
{
    return {{"retry", decision.retry},
            {"delay", of(decision.delay)},
            {"outcome", outcomeName(decision.outcome)},
            {"reason", reasonName(decision.reason)},
            {"retry_after_ms", decision.retryAfter.count()}};
}

// ---- From JSON --------------------------------------------------------------------------------------------------

TimePoint timeOf(const Json &json)
{
    return TimePoint(durationOf(json));
}

AdmissionSettings admissionSettingsOf(const Json &json)
{
    return {json.at("slots"), json.at("queue_limit"), durationOf(json.at("slow_start")), json.at("bulk_share")};
}

ChooserSettings chooserSettingsOf(const Json &json)
{
    return {json.at("data_centre"),
            json.at("eject_after"),
            durationOf(json.at("eject_for")),
            json.at("eject_floor"),
            durationOf(json.at("load_age")),
            json.at("seed")};
}

RetrySettings retrySettingsOf(const Json &json)
{
    return {json.at("budget_share"), json.at("budget_min"), durationOf(json.at("backoff_base")), durationOf(json.at("backoff_cap")), json.at("seed")};
}

Ticket ticketOf(const Json &json)
{
    return {json.at("id"), static_cast<RequestClass>(json.at("class").get<int>()), timeOf(json.at("deadline"))};
}

TargetLoad loadOf(const Json &json)
{
    return {json.at("in_use"), json.at("slots"), json.at("queued"), json.at("leaving")};
}

AttemptResult attemptResultOf(const Json &json)
{
    return {static_cast<Outcome>(json.at("outcome").get<int>()),
            static_cast<Reason>(json.at("reason").get<int>()),
            json.at("body_started"),
            json.at("retried_below"),
            millisOf(json.at("retry_after_ms")),
            loadOf(json.at("load"))};
}

Service serviceOf(const Json &json)
{
    Service service;
    for (const auto &target : json) {
        service.targets.push_back({target.at("host"), target.at("data_centre"), {}, target.at("slots"), 1});
    }
    return service;
}

Rule ruleOf(const Json &json)
{
    return {json.at("idempotent"), millisOf(json.at("timeout_ms")), json.at("max_attempts"), RequestClass::Read};
}

RetryState retryStateOf(const Json &json)
{
    return {json.at("attempts"), json.at("may_have_run"), durationOf(json.at("last_backoff")), json.at("depth")};
}

} // namespace Fescuenotch::TraceJson
