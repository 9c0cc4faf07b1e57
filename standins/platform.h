// The platform stand-in's store: keys with revisions, the answers to GET /v1/config and /v1/hosts, and its faults.
//
// How to use: `publish` raises the revision; `answerConfig` blocks for a watch. The whole log of changes is kept, so that
// a stale answer or a restore to an older revision can be made. All functions may be called from many threads.
#pragma once

#include "kernel/clock.h"
#include "standins/httpserver.h"

#include <nlohmann/json.hpp>

#include <array>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace Fescuenotch::Standins {

struct PlatformSettings {
    unsigned rate = 2'000; ///< calls per second; more are answered 429
    std::size_t pageBytes = 512 * 1024; ///< bytes of values in one page
};

struct PlatformChange {
    std::uint64_t revision = 0;
    std::string key;
    nlohmann::json value; ///< null: withdrawn
};

/// Counts calls in total, by kind, and in the busiest calendar second.
struct PlatformStats {
    std::uint64_t calls = 0;
    std::uint64_t configCalls = 0;
    std::uint64_t hostsCalls = 0;
    std::uint64_t limited = 0; ///< answered 429
    std::uint64_t outage = 0; ///< answered 503
    std::uint64_t busiestSecond = 0; ///< calls
    std::uint64_t currentSecond = 0; ///< calls
    std::int64_t second = 0; ///< s on the steady clock
    std::uint64_t waiting = 0; ///< watches now
    std::uint64_t waitingMost = 0; ///< watches
};

class Platform
{
public:
    explicit Platform(const PlatformSettings &settings);
    /// Publishes one value (null withdraws) and gives its revision.
    std::uint64_t publish(const std::string &key, const nlohmann::json &value);
    void setHosts(const nlohmann::json &hosts);
    /// The read protocol.
    ServerReply answer(const ServerCall &call);
    /// The operator port: POST /publish, /hosts, /fault, /reset; GET /stats.
    ServerReply operate(const ServerCall &call);

private:
    struct Question {
        std::uint64_t after = 0; ///< revision
        milliseconds wait{0}; ///< ms
    };
    ServerReply refusal(unsigned status);
    /// Counts the call; 0 when it may be answered, else the status that refuses it.
    unsigned admit(bool config);
    ServerReply answerConfig(const ServerCall &call, const Question &question);
    ServerReply answerHosts();
    std::uint64_t visibleRevision() const;
    nlohmann::json page(const Question &question) const;
    std::vector<PlatformChange> changesAfter(std::uint64_t after, bool complete) const;
    ServerReply operatePublish(const std::string &body);
    ServerReply operateHosts(const std::string &body);
    ServerReply operateFault(const std::string &body);
    void restore(std::uint64_t revision);
    nlohmann::json statsJson();

    PlatformSettings m_settings;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::vector<PlatformChange> m_log; ///< by rising revision
    std::uint64_t m_epoch = 1;
    std::uint64_t m_stale = 0; ///< revision that answers come from; 0: the newest
    bool m_outage = false;
    milliseconds m_delay{0}; ///< ms; before each answer
    nlohmann::json m_hosts = nlohmann::json::array();
    std::uint64_t m_hostsRevision = 0;
    PlatformStats m_stats;
};

} // namespace Fescuenotch::Standins
