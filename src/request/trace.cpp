// Sections: file recorder, admission, chooser, retry policy.
#include "request/trace.h"

#include "kernel/logging.h"
#include "request/tracejson.h"

#include <fstream>
#include <map>
#include <mutex>

namespace Fescuenotch {

namespace {

using TraceJson::Json;

// ---- File recorder ----------------------------------------------------------------------------------------------

class FileTrace final : public TraceRecorder
{
public:
    explicit FileTrace(const std::string &file)
        : m_out(file, std::ios::app)
    {
    }
    bool isOpen() const
    {
        return m_out.is_open();
    }
    void write(const Json &line) override
    {
        const auto text = line.dump() + "\n";
        const std::lock_guard lock(m_mutex);
        m_out << text << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/// Writes the trace lines of one decision object.
class ObjectTrace
{
public:
    ObjectTrace(TracePtr trace, std::string object)
        : m_trace(std::move(trace))
        , m_object(std::move(object))
    {
    }
    void write(const char *call, TimePoint now, Json in, Json out) const
    {
        m_trace->write({{"object", m_object}, {"call", call}, {"at", TraceJson::toJson(now)}, {"in", std::move(in)}, {"out", std::move(out)}});
    }

private:
    TracePtr m_trace;
    std::string m_object;
};

// ---- Admission --------------------------------------------------------------------------------------------------

class TracedAdmission final : public Admission
{
public:
    TracedAdmission(const AdmissionSettings &settings, const TracePtr &trace, const std::string &object)
        : m_inner(makeAdmission(settings))
        , m_trace(trace, object)
    {
        m_trace.write("make-admission", {}, TraceJson::toJson(settings), nullptr);
    }
    AdmissionResult offer(TimePoint now, const Ticket &ticket) override
    {
        const auto result = m_inner->offer(now, ticket);
        m_trace.write("offer", now, TraceJson::toJson(ticket), TraceJson::toJson(result));
        return result;
    }
    AdmissionChanges finished(TimePoint now, TicketId id, Duration service, bool targetShed) override
    {
        const auto in = Json{{"id", id}, {"service", TraceJson::toJson(service)}, {"shed", targetShed}};
        return record("finished", now, in, m_inner->finished(now, id, service, targetShed));
    }
    AdmissionChanges withdraw(TimePoint now, TicketId id) override
    {
        return record("withdraw", now, {{"id", id}}, m_inner->withdraw(now, id));
    }
    AdmissionChanges onTick(TimePoint now) override
    {
        auto changes = m_inner->onTick(now);
        const bool hasChanges = !changes.started.empty() || !changes.refused.empty();
        return hasChanges ? record("tick", now, nullptr, std::move(changes)) : changes;
    }
    AdmissionChanges resize(TimePoint now, unsigned slots) override
    {
        return record("resize", now, {{"slots", slots}}, m_inner->resize(now, slots));
    }
    void onCold(TimePoint now) override
    {
        m_inner->onCold(now);
        m_trace.write("cold", now, nullptr, nullptr);
    }
    TargetLoad load() const override
    {
        return m_inner->load();
    }

private:
    AdmissionChanges record(const char *call, TimePoint now, const Json &in, AdmissionChanges changes) const
    {
        m_trace.write(call, now, in, TraceJson::toJson(changes));
        return changes;
    }

    std::unique_ptr<Admission> m_inner;
    ObjectTrace m_trace;
};

// ---- Chooser ----------------------------------------------------------------------------------------------------

class TracedChooser final : public TargetChooser
{
public:
    TracedChooser(const ChooserSettings &settings, const TracePtr &trace, const std::string &object)
        : m_inner(makeTargetChooser(settings))
        , m_trace(trace, object)
    {
        m_trace.write("make-chooser", {}, TraceJson::toJson(settings), nullptr);
    }
    std::optional<TargetEntry> choose(TimePoint now, const std::string &serviceName, const Service &service, const std::vector<std::string> &tried) override
    {
        auto target = m_inner->choose(now, serviceName, service, tried);
        const Json in{{"service", serviceName}, {"targets", TraceJson::toJson(service)}, {"tried", tried}};
        m_trace.write("choose", now, in, target ? Json(target->host) : Json());
        return target;
    }
    void onStart(TimePoint now, const std::string &host) override
    {
        m_inner->onStart(now, host);
        m_trace.write("start", now, {{"host", host}}, nullptr);
    }
    void onEnd(TimePoint now, const std::string &host, const AttemptResult &result) override
    {
        m_inner->onEnd(now, host, result);
        m_trace.write("end", now, {{"host", host}, {"result", TraceJson::toJson(result)}}, nullptr);
    }
    void onLoad(TimePoint now, const std::string &host, const TargetLoad &load) override
    {
        m_inner->onLoad(now, host, load);
        m_trace.write("load", now, {{"host", host}, {"load", TraceJson::toJson(load)}}, nullptr);
    }
    void onLeaving(TimePoint now, const std::string &host) override
    {
        m_inner->onLeaving(now, host);
        m_trace.write("leaving", now, {{"host", host}}, nullptr);
    }
    void onAlive(TimePoint now, const std::string &host) override
    {
        m_inner->onAlive(now, host);
        m_trace.write("alive", now, {{"host", host}}, nullptr);
    }

private:
    std::unique_ptr<TargetChooser> m_inner;
    ObjectTrace m_trace;
};

// ---- Retry policy -----------------------------------------------------------------------------------------------

class TracedRetryPolicy final : public RetryPolicy
{
public:
    TracedRetryPolicy(const RetrySettings &settings, const TracePtr &trace, const std::string &object)
        : m_inner(makeRetryPolicy(settings))
        , m_trace(trace, object)
    {
        m_trace.write("make-retry", {}, TraceJson::toJson(settings), nullptr);
    }
    void onRequest(TimePoint now, const std::string &serviceName) override
    {
        m_inner->onRequest(now, serviceName);
        m_trace.write("request", now, {{"service", serviceName}}, nullptr);
    }
    RetryDecision
    afterFailure(TimePoint now, TimePoint deadline, const std::string &serviceName, const Rule &rule, const AttemptResult &result, RetryState &state) override
    {
        const Json in{{"deadline", TraceJson::toJson(deadline)},
                      {"service", serviceName},
                      {"rule", TraceJson::toJson(rule)},
                      {"result", TraceJson::toJson(result)},
                      {"state", TraceJson::toJson(state)}};
        const auto decision = m_inner->afterFailure(now, deadline, serviceName, rule, result, state);
        m_trace.write("failure", now, in, TraceJson::toJson(decision));
        return decision;
    }

private:
    std::unique_ptr<RetryPolicy> m_inner;
    ObjectTrace m_trace;
};

} // namespace

TracePtr openTrace(const std::string &file)
{
    static std::mutex mutex;
    static std::map<std::string, std::weak_ptr<FileTrace>> openTraces;
    if (file.empty()) {
        return nullptr;
    }
    const std::lock_guard lock(mutex);
    if (auto existing = openTraces[file].lock()) {
        return existing;
    }
    auto trace = std::make_shared<FileTrace>(file);
    if (!trace->isOpen()) {
        logEvent(LogLevel::Error, "trace_not_opened").with("file", file).with("remedy", "name a file in an existing, writable directory");
        return nullptr;
    }
    openTraces[file] = trace;
    return trace;
}

std::unique_ptr<Admission> makeTracedAdmission(const AdmissionSettings &settings, const TracePtr &trace, const std::string &object)
{
    if (!trace) {
        return makeAdmission(settings);
    }
    return std::make_unique<TracedAdmission>(settings, trace, object);
}

std::unique_ptr<TargetChooser> makeTracedChooser(const ChooserSettings &settings, const TracePtr &trace, const std::string &object)
{
    if (!trace) {
        return makeTargetChooser(settings);
    }
    return std::make_unique<TracedChooser>(settings, trace, object);
}

std::unique_ptr<RetryPolicy> makeTracedRetryPolicy(const RetrySettings &settings, const TracePtr &trace, const std::string &object)
{
    if (!trace) {
        return makeRetryPolicy(settings);
    }
    return std::make_unique<TracedRetryPolicy>(settings, trace, object);
}

} // namespace Fescuenotch
