// Sections: to JSON, from JSON.
#include "request/tracejson.h"

namespace Fescuenotch::TraceJson {

namespace {

template<typename E>
int enumValue(E value)
{
    return static_cast<int>(value);
}

Duration durationFromJson(const Json &json)
{
    return std::chrono::nanoseconds(json.get<std::int64_t>());
}

milliseconds millisFromJson(const Json &json)
{
    return milliseconds(json.get<std::int64_t>());
}

} // namespace

// ---- To JSON ----------------------------------------------------------------------------------------------------

std::int64_t toJson(TimePoint time)
{
    return toJson(time.time_since_epoch());
}

std::int64_t toJson(Duration duration)
{
    return std::chrono::nanoseconds(duration).count();
}

Json toJson(const AdmissionSettings &settings)
{
    return {{"slots", settings.slots}, {"queue_limit", settings.queueLimit}, {"slow_start", toJson(settings.slowStart)}, {"bulk_share", settings.bulkShare}};
}

Json toJson(const ChooserSettings &settings)
{
    return {{"data_centre", settings.dataCentre},
            {"eject_after", settings.ejectAfter},
            {"eject_for", toJson(settings.ejectFor)},
            {"eject_floor", settings.ejectFloor},
            {"load_age", toJson(settings.loadAge)},
            {"seed", settings.seed}};
}

Json toJson(const RetrySettings &settings)
{
    return {{"budget_share", settings.budgetShare},
            {"budget_min", settings.budgetMinPerSecond},
            {"backoff_base", toJson(settings.backoffBase)},
            {"backoff_cap", toJson(settings.backoffCap)},
            {"seed", settings.seed}};
}

Json toJson(const Ticket &ticket)
{
    return {{"id", ticket.id}, {"class", enumValue(ticket.requestClass)}, {"deadline", toJson(ticket.deadline)}};
}

Json toJson(const AdmissionResult &result)
{
    return {{"verdict", enumValue(result.verdict)}, {"reason", reasonName(result.reason)}, {"retry_after_ms", result.retryAfter.count()}};
}

Json toJson(const AdmissionChanges &changes)
{
    Json refused = Json::array();
    for (const auto &[id, result] : changes.refused) {
        refused.push_back({{"id", id}, {"result", toJson(result)}});
    }
    return {{"started", changes.started}, {"refused", refused}};
}

Json toJson(const TargetLoad &load)
{
    return {{"in_use", load.inUse}, {"slots", load.slots}, {"queued", load.queued}, {"leaving", load.leaving}};
}

Json toJson(const AttemptResult &result)
{
    return {{"outcome", enumValue(result.outcome)},
            {"reason", enumValue(result.reason)},
            {"body_started", result.bodyStarted},
            {"retried_below", result.retriedBelow},
            {"retry_after_ms", result.retryAfter.count()},
            {"load", toJson(result.load)}};
}

Json toJson(const Service &service)
{
    Json targets = Json::array();
    for (const auto &target : service.targets) {
        targets.push_back({{"host", target.host}, {"data_centre", target.dataCentre}, {"slots", target.slots}});
    }
    return targets;
}

Json toJson(const Rule &rule)
{
    return {{"idempotent", rule.idempotent}, {"timeout_ms", rule.timeout.count()}, {"max_attempts", rule.maxAttempts}};
}

Json toJson(const RetryState &state)
{
    return {{"attempts", state.attempts}, {"may_have_run", state.mayHaveRun}, {"last_backoff", toJson(state.lastBackoff)}, {"depth", state.depth}};
}

Json toJson(const RetryDecision &decision)
{
    return {{"retry", decision.retry},
            {"delay", toJson(decision.delay)},
            {"outcome", outcomeName(decision.outcome)},
            {"reason", reasonName(decision.reason)},
            {"retry_after_ms", decision.retryAfter.count()}};
}

// ---- From JSON --------------------------------------------------------------------------------------------------

TimePoint timeFromJson(const Json &json)
{
    return TimePoint(durationFromJson(json));
}

AdmissionSettings admissionSettingsFromJson(const Json &json)
{
    return {json.at("slots"), json.at("queue_limit"), durationFromJson(json.at("slow_start")), json.at("bulk_share")};
}

ChooserSettings chooserSettingsFromJson(const Json &json)
{
    return {json.at("data_centre"),
            json.at("eject_after"),
            durationFromJson(json.at("eject_for")),
            json.at("eject_floor"),
            durationFromJson(json.at("load_age")),
            json.at("seed")};
}

RetrySettings retrySettingsFromJson(const Json &json)
{
    return {
        json.at("budget_share"), json.at("budget_min"), durationFromJson(json.at("backoff_base")), durationFromJson(json.at("backoff_cap")), json.at("seed")};
}

Ticket ticketFromJson(const Json &json)
{
    return {json.at("id"), static_cast<RequestClass>(json.at("class").get<int>()), timeFromJson(json.at("deadline"))};
}

TargetLoad loadFromJson(const Json &json)
{
    return {json.at("in_use"), json.at("slots"), json.at("queued"), json.at("leaving")};
}

AttemptResult attemptResultFromJson(const Json &json)
{
    return {static_cast<Outcome>(json.at("outcome").get<int>()),
            static_cast<Reason>(json.at("reason").get<int>()),
            json.at("body_started"),
            json.at("retried_below"),
            millisFromJson(json.at("retry_after_ms")),
            loadFromJson(json.at("load"))};
}

Service serviceFromJson(const Json &json)
{
    Service service;
    for (const auto &target : json) {
        service.targets.push_back({target.at("host"), target.at("data_centre"), {}, target.at("slots"), 1});
    }
    return service;
}

Rule ruleFromJson(const Json &json)
{
    return {json.at("idempotent"), millisFromJson(json.at("timeout_ms")), json.at("max_attempts"), RequestClass::Read};
}

RetryState retryStateFromJson(const Json &json)
{
    return {json.at("attempts"), json.at("may_have_run"), durationFromJson(json.at("last_backoff")), json.at("depth")};
}

} // namespace Fescuenotch::TraceJson
