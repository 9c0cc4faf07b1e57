// Conversion of the inputs and outputs of request decisions to and from JSON, for trace lines.
//
// Durations are in ns, times in ns of the steady clock. Inputs hold enum values as numbers in the order of the enum;
// outputs hold reasons and outcomes by name, the verdict as a number.
//
// Pitfall: the `...FromJson` functions throw nlohmann::json exceptions on a missing field or a wrong type.
#pragma once

#include "request/decisions.h"

#include <nlohmann/json.hpp>

namespace Fescuenotch::TraceJson {

using Json = nlohmann::ordered_json;

std::int64_t toJson(TimePoint time);
std::int64_t toJson(Duration duration);
Json toJson(const AdmissionSettings &settings);
Json toJson(const ChooserSettings &settings);
Json toJson(const RetrySettings &settings);
Json toJson(const Ticket &ticket);
Json toJson(const AdmissionResult &result);
Json toJson(const AdmissionChanges &changes);
Json toJson(const TargetLoad &load);
Json toJson(const AttemptResult &result);
Json toJson(const Service &service);
Json toJson(const Rule &rule);
Json toJson(const RetryState &state);
Json toJson(const RetryDecision &decision);

TimePoint timeFromJson(const Json &json);
AdmissionSettings admissionSettingsFromJson(const Json &json);
ChooserSettings chooserSettingsFromJson(const Json &json);
RetrySettings retrySettingsFromJson(const Json &json);
Ticket ticketFromJson(const Json &json);
TargetLoad loadFromJson(const Json &json);
AttemptResult attemptResultFromJson(const Json &json);
Service serviceFromJson(const Json &json);
Rule ruleFromJson(const Json &json);
RetryState retryStateFromJson(const Json &json);

} // namespace Fescuenotch::TraceJson
