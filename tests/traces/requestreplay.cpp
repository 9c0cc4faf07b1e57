#include "requestreplay.h"

#include "request/trace.h"
#include "request/tracejson.h"

#include <fstream>
#include <functional>
#include <map>

namespace Fescuenotch::Testing {

namespace {

using TraceJson::Json;
using Call = std::function<void(TimePoint, const Json &)>;

/// Keeps the line that the replayed object wrote last.
class LastLine final : public TraceRecorder
{
public:
    void write(const Json &line) override
    {
        last = line;
    }
    Json last;
};

/// The objects of one trace, by name.
class Replayer
{
public:
    Json run(const Json &line)
    {
        m_recorder->last = nullptr;
        const std::string object = line.at("object");
        const std::string call = line.at("call");
        const auto &in = line.at("in");
        const auto now = TraceJson::timeFromJson(line.at("at"));
        if (call == "make-admission") {
            m_admissions[object] = makeTracedAdmission(TraceJson::admissionSettingsFromJson(in), m_recorder, object);
        } else if (call == "make-chooser") {
            m_choosers[object] = makeTracedChooser(TraceJson::chooserSettingsFromJson(in), m_recorder, object);
        } else if (call == "make-retry") {
            m_policies[object] = makeTracedRetryPolicy(TraceJson::retrySettingsFromJson(in), m_recorder, object);
        } else if (const auto admission = m_admissions.find(object); admission != m_admissions.end()) {
            callAdmission(*admission->second, call, now, in);
        } else if (const auto chooser = m_choosers.find(object); chooser != m_choosers.end()) {
            callChooser(*chooser->second, call, now, in);
        } else if (const auto policy = m_policies.find(object); policy != m_policies.end()) {
            callPolicy(*policy->second, call, now, in);
        }
        return m_recorder->last;
    }

private:
    static void callAdmission(Admission &admission, const std::string &call, TimePoint now, const Json &in)
    {
        const std::map<std::string, std::function<void()>> calls{
            {"offer", [&] { admission.offer(now, TraceJson::ticketFromJson(in)); }},
            {"finished", [&] { admission.finished(now, in.at("id"), std::chrono::nanoseconds(in.at("service").get<std::int64_t>()), in.at("shed")); }},
            {"withdraw", [&] { admission.withdraw(now, in.at("id")); }},
            {"tick", [&] { admission.onTick(now); }},
            {"resize", [&] { admission.resize(now, in.at("slots")); }},
            {"cold", [&] { admission.onCold(now); }},
        };
        calls.at(call)();
    }

    static void callChooser(TargetChooser &chooser, const std::string &call, TimePoint now, const Json &in)
    {
        const std::map<std::string, std::function<void()>> calls{
            {"choose", [&] { chooser.choose(now, in.at("service"), TraceJson::serviceFromJson(in.at("targets")), in.at("tried")); }},
            {"start", [&] { chooser.onStart(now, in.at("host")); }},
            {"end", [&] { chooser.onEnd(now, in.at("host"), TraceJson::attemptResultFromJson(in.at("result"))); }},
            {"load", [&] { chooser.onLoad(now, in.at("host"), TraceJson::loadFromJson(in.at("load"))); }},
            {"leaving", [&] { chooser.onLeaving(now, in.at("host")); }},
            {"alive", [&] { chooser.onAlive(now, in.at("host")); }},
        };
        calls.at(call)();
    }

    static void callPolicy(RetryPolicy &policy, const std::string &call, TimePoint now, const Json &in)
    {
        if (call == "request") {
            policy.onRequest(now, in.at("service"));
            return;
        }
        auto state = TraceJson::retryStateFromJson(in.at("state"));
        const auto deadline = TraceJson::timeFromJson(in.at("deadline"));
        policy.afterFailure(now, deadline, in.at("service"), TraceJson::ruleFromJson(in.at("rule")), TraceJson::attemptResultFromJson(in.at("result")), state);
    }

    std::shared_ptr<LastLine> m_recorder = std::make_shared<LastLine>();
    std::map<std::string, std::unique_ptr<Admission>> m_admissions;
    std::map<std::string, std::unique_ptr<TargetChooser>> m_choosers;
    std::map<std::string, std::unique_ptr<RetryPolicy>> m_policies;
};

} // namespace

ReplayResult replayRequestTrace(const std::string &file)
{
    std::ifstream in(file);
    ReplayResult result;
    Replayer replayer;
    for (std::string text; std::getline(in, text);) {
        ++result.lines;
        const auto stated = Json::parse(text);
        const auto got = replayer.run(stated);
        if (got != stated) {
            result.differences.push_back("line " + std::to_string(result.lines) + ": stated " + text + ", got " + got.dump());
        }
    }
    return result;
}

} // namespace Fescuenotch::Testing
