// The target stand-in: slots, service times, cold start, draining, shedding, and a journal of every start and finish.
//
// Paths, each after any prefix: /echo/TOKEN gives TOKEN in the body; /run/TOKEN journals TOKEN and gives it back; /archive/BYTES gives that many
// bytes of fixed content with an ETag and ranges; /load and /health tell the load (or lie about it).
// A request starts when it is there whole and has a slot; only then is it journalled as started.
#pragma once

#include "kernel/clock.h"
#include "standins/httpserver.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace Fescuenotch::Standins {

/// How long a request takes: fixed:MS, uniform:LOW:HIGH, exponential:MEAN or lognormal:MEDIAN:SIGMA, all in ms.
struct ServiceTime {
    enum class Shape { Fixed, Uniform, Exponential, Lognormal } shape = Shape::Fixed;
    double first = 0; ///< ms; the time, low end, mean or median
    double second = 0; ///< ms the high end, or sigma without unit
    milliseconds draw(std::mt19937_64 &random) const;
};
/// Parses the text form; error InvalidInput.
Result<ServiceTime> parseServiceTime(const std::string &text);

struct TargetSettings {
    unsigned slots = 20;
    ServiceTime serviceTime;
    milliseconds coldStart{0}; ///< ms; service times fall from ten times to one over this
    milliseconds connectDelay{0}; ///< ms; added to the first request of a connection
    bool shed = false; ///< refuse when all slots are used; otherwise requests wait for one
    std::string journal; ///< file; empty: none
    std::uint64_t seed = 1;
};

/// What can be switched through POST /fault; a key that is not sent stays.
struct TargetFaults {
    bool drain = false; ///< refuse new work as not run, draining
    bool shed = false; ///< refuse all work as not run
    bool silent = false; ///< take requests and neither start nor answer them
    bool silentAfter = false; ///< run requests and never answer them
    bool lyingLoad = false; ///< /load tells the opposite
    bool refuse = false; ///< refuse connections
    std::int64_t slowMs = 0; ///< ms; added to each service time
    std::int64_t breakMidway = 0; ///< this many answers break in the middle; -1: all
    bool operator==(const TargetFaults &) const = default;
};

struct TargetStats {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0; ///< the caller left before the end
    std::uint64_t refused = 0;
    std::uint64_t broken = 0; ///< answers broken on purpose
    unsigned inUse = 0; ///< slots
    unsigned inUseMost = 0; ///< slots asked for at once, those that had to wait included
    std::uint64_t waited = 0; ///< requests that came while all slots were used
};

class Target
{
public:
    explicit Target(const TargetSettings &settings);
    ServerReply answer(const ServerCall &call);
    /// POST /fault, GET /stats.
    ServerReply operate(const ServerCall &call);
    /// Drains, and waits until nothing is in flight and `linger` has passed.
    void drain(milliseconds linger);
    TargetFaults faults() const;
    /// Called after a change of `refuse`, from the operator's thread.
    std::function<void(bool refuse)> onRefuse;

private:
    class Slot;
    /// A refusal when this target takes no work now.
    std::optional<ServerReply> refuseWork();
    std::optional<ServerReply> takeSlot(const ServerCall &call);
    void releaseSlot();
    bool takeBreak();
    milliseconds drawTime();
    bool work(const ServerCall &call, milliseconds time);
    bool waitSilently(const ServerCall &call, bool TargetFaults::*fault);
    ServerReply makeAnswer(const ServerCall &call);
    ServerReply archive(const ServerCall &call);
    ServerReply load();
    void journal(const char *event, const ServerCall &call);
    nlohmann::json statsJson() const;

    TargetSettings m_settings;
    mutable std::mutex m_lock;
    std::condition_variable m_slotFree;
    TargetFaults m_faults;
    TargetStats m_stats;
    std::mt19937_64 m_random;
    TimePoint m_started;
    int m_journal = -1; ///< file descriptor
};

} // namespace Fescuenotch::Standins
