// A target whose process ends, with all its connections and its address, when it runs a request to a certain path or gets a request
// that overloads it, and which is back after a while.
//
// How to use: construct it with a function that makes the answer to a request; requests whose text contains `crashText` crash it.
#pragma once

#include "tests/support/rawsocket.h"

namespace Fescuenotch::Tests {

struct CrashingTargetSettings {
    Endpoint listen;
    std::string crashText;
    milliseconds service{10}; ///< ms; work before an answer or a crash
    milliseconds downFor{500}; ///< ms
    std::function<std::string(const std::string &request)> answer;
    std::function<void()> onCrash;
    std::function<bool(const std::string &request)> isOverload; ///< called for each request as it arrives; true: it crashes the target
    std::function<void()> onStart; ///< of each life of the process, before it listens
};

class CrashingTarget
{
public:
    explicit CrashingTarget(CrashingTargetSettings settings);
    ~CrashingTarget();
    void crash(); ///< returns when its address is gone

private:
    void live(); ///< one life of the process, until it crashes
    void serve(RawSocket socket);

    CrashingTargetSettings m_settings;
    std::atomic<bool> m_crashed{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_listening{false};
    std::thread m_process;
};

} // namespace Fescuenotch::Tests
