// JSON forms of what request decisions take and give, for trace lines.
//
// Durations are ns, times ns of the steady clock; reasons and outcomes are their numbers in the enum's order.
#pragma once

#include "request/decisions.h"

#include <nlohmann/json.hpp>

namespace Fescuenotch::TraceJson {

using Json = nlohmann::ordered_json;

std::int64_t of(TimePoint time);
std::int64_t of(Duration duration);
Json of(const AdmissionSettings &settings);
Json of(const ChooserSettings &settings);
Json of(const RetrySettings &settings);
Json of(const Ticket &ticket);
Json of(const AdmissionResult &result);
Json of(const AdmissionChanges &changes);
Json of(const TargetLoad &load);
Json of(const AttemptResult &result);
Json of(const Service &service);
Json of(const Rule &rule);
Json of(const RetryState &state);
Json of(const RetryDecision &decision);

TimePoint timeOf(const Json &json);
AdmissionSettings admissionSettingsOf(const Json &json);
ChooserSettings chooserSettingsOf(const Json &json);
RetrySettings retrySettingsOf(const Json &json);
Ticket ticketOf(const Json &json);
TargetLoad loadOf(const Json &json);
AttemptResult attemptResultOf(const Json &json);
Service serviceOf(const Json &json);
Rule ruleOf(const Json &json);
RetryState retryStateOf(const Json &json);

} // namespace Fescuenotch::TraceJson
