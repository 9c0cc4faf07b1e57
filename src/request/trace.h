// Records the inputs and outputs of request decisions as JSON lines, for replay with expected outcomes.
//
// How to use: `openTrace(file)` returns the recorder of a file, one per file in this process; create each decision object
// with a `makeTraced...` function. A line:
//   {"object":"admission","call":"offer","at":NS,"in":{...},"out":{...}}
// The first line of each object is its "make-..." call with the settings. Times are ns of the steady clock. No header or body
// of a request is recorded.
//
// Pitfall: only the lines of one object are in order, because its owner calls it under a lock; lines of different objects
// interleave.
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

/// A recorder that appends to `file`; null when the name is empty or the file cannot be opened (logged).
TracePtr openTrace(const std::string &file);

/// Each function creates the decision object and, unless `trace` is null, wraps it in a recording one; `object` is its name
/// in the trace lines.
std::unique_ptr<Admission> makeTracedAdmission(const AdmissionSettings &settings, const TracePtr &trace, const std::string &object);
std::unique_ptr<TargetChooser> makeTracedChooser(const ChooserSettings &settings, const TracePtr &trace, const std::string &object);
std::unique_ptr<RetryPolicy> makeTracedRetryPolicy(const RetrySettings &settings, const TracePtr &trace, const std::string &object);

} // namespace Fescuenotch
