// Records the inputs and outputs of request decisions as JSON lines, for replay against stated outcomes.
//
// How to use: `openTrace(file)` gives the recorder of a file, shared in this process; wrap each decision object with
// `traced(...)`. A line: {"object":"admission","call":"offer","at":NS,"in":{...},"out":{...}}; the first line of each
// object is its "make" with the settings. Times are ns of the steady clock. No header or body of a caller is recorded.
//
// Pitfall: lines of one object are in order because its owner calls it under a lock; lines of different objects mix.
#pragma once

#include "request/decisions.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace Fescuenotch {

class TraceRecorder
{
public:
    virtual ~TraceRecorder() = default;
    virtual void write(const nlohmann::ordered_json &line) = 0; ///< from any thread
};
using TracePtr = std::shared_ptr<TraceRecorder>;

/// The recorder that appends to `file`; null for an empty name or a file that cannot be opened (logged).
TracePtr openTrace(const std::string &file);

/// Each makes the decision object and, with a recorder, wraps it; `object` names it in the lines.
std::unique_ptr<Admission> makeTracedAdmission(const AdmissionSettings &settings, const TracePtr &trace, const std::string &object);
std::unique_ptr<TargetChooser> makeTracedChooser(const ChooserSettings &settings, const TracePtr &trace, const std::string &object);
std::unique_ptr<RetryPolicy> makeTracedRetryPolicy(const RetrySettings &settings, const TracePtr &trace, const std::string &object);

} // namespace Fescuenotch
