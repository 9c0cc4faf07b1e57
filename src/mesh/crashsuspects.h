// Finds requests that crash the targets that run them, from crashes that all nodes tell each other.
//
// When a target crashes, the exit node on its host knows the fingerprints of the requests that ran there: one may have caused the
// crash, the others are bystanders. A fingerprint stands for all requests with the same host, path, method and body, whoever
// sends them. Each crash is a record; a target's answer to a fingerprint clears it of all earlier crashes. A fingerprint with
// `crashesToQuarantine` crashes since its last answer is quarantined: entry nodes refuse it without asking any target.
//
// Bystanders are told apart in three ways:
// - Several crashes count only if the request began to run at each target after the crash before. Targets that are killed
//   together run the same popular requests, which so count once.
// - The fingerprint with the most crashes is quarantined first, and its crashes are explained by it. Any other fingerprint needs
//   `unexplainedToQuarantine` crashes that are not.
// - A quarantined fingerprint is sent as a single probe from time to time. If a target answers it, it is cleared. The time to the
//   next probe grows with each crash, so that probes crash at most three targets in the first half hour.
//
// All is derived from a set of records and clearances, so nodes that hold the same set agree, in whatever order they received it.
//
// Usage: `addCrash` and `addClearance` for what this node sees and what peers tell; `toTell` for what peers do not know yet.
// Pitfall: times are on the local clock; peers tell ages.
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

using Fingerprint = std::uint64_t; ///< 0: not known

/// A request that ran at a target when it ended.
struct CrashSuspect {
    Fingerprint fingerprint = 0;
    milliseconds ranFor{0}; ///< ms; of several with one fingerprint, the longest
};

struct CrashRecord {
    std::uint64_t id = 0; ///< random
    TimePoint at;
    std::vector<CrashSuspect> suspects;
};

struct Clearance {
    Fingerprint fingerprint = 0;
    TimePoint at; ///< when a target answered it
};

/// What one node tells another.
struct CrashNews {
    std::vector<CrashRecord> crashes;
    std::vector<Clearance> clearances;
};

struct CrashSuspectsSettings {
    unsigned crashesToQuarantine = 3; ///< crashes
    unsigned unexplainedToQuarantine = 2; ///< crashes; of these, those that no other quarantined request explains
    Duration recordLifetime = std::chrono::hours(1); ///< h; a crash counts for this long
    Duration tellFor = seconds(3); ///< s; peers are told of news for this long; more than two heartbeats of an idle link
    Duration firstProbeAfter = milliseconds(500); ///< ms; from the last crash of a quarantined fingerprint
    std::size_t maxRecords = 256; ///< bounds memory; the oldest are dropped
    std::size_t maxSuspects = 64; ///< per record; above the slots of any target
    std::size_t maxNews = 16; ///< records, and clearances, told at once
};

/// Whether the node on host `self` is the one that sends the probes of the fingerprint: rendezvous hashing over the hosts of the fleet.
bool isProbingHost(Fingerprint fingerprint, const std::string &self, const std::vector<std::string> &hosts);

class CrashSuspects
{
public:
    explicit CrashSuspects(const CrashSuspectsSettings &settings = {});
    /// Returns false if the record was known.
    bool addCrash(TimePoint now, CrashRecord record);
    /// Returns false if the clearance changes nothing.
    bool addClearance(TimePoint now, const Clearance &clearance);
    /// Crashes of the fingerprint since it was last answered.
    unsigned crashesOf(Fingerprint fingerprint) const;
    bool isQuarantined(Fingerprint fingerprint) const;
    /// Whether it is time for the next probe of a quarantined fingerprint. Only the probing host may send it; it then calls
    /// `onProbeSent`.
    bool isProbeDue(TimePoint now, Fingerprint fingerprint) const;
    void onProbeSent(TimePoint now, Fingerprint fingerprint);
    /// News learnt within `tellFor`; with `all` everything that is known, for a node that has just started.
    CrashNews toTell(TimePoint now, bool all) const;
    void tick(TimePoint now); ///< drops records that no longer count
    std::size_t quarantined() const
    {
        return m_quarantined.size();
    }

private:
    struct Record {
        CrashRecord crash;
        TimePoint learntAt;
    };
    struct Cleared {
        TimePoint at;
        TimePoint learntAt;
    };
    struct Quarantine {
        unsigned crashes = 0;
        TimePoint lastCrashAt;
    };

    /// What a crash says of one fingerprint.
    struct Evidence {
        TimePoint at;
        TimePoint begunAt; ///< when the request began to run there
    };
    using Crashes = std::map<std::uint64_t, Evidence>; ///< by the record's id

    static bool contains(const CrashRecord &record, Fingerprint fingerprint);
    bool isCurrent(const CrashRecord &record, Fingerprint fingerprint) const; ///< the fingerprint was not answered since
    static unsigned countInSequence(const Crashes &crashes);
    void update();
    void dropOldest();

    CrashSuspectsSettings m_settings;
    std::map<std::uint64_t, Record> m_records; ///< by id
    std::map<Fingerprint, Cleared> m_cleared; ///< only fingerprints that are in a record
    std::unordered_map<Fingerprint, unsigned> m_crashes; ///< that count, by fingerprint
    std::map<Fingerprint, Quarantine> m_quarantined;
    std::map<Fingerprint, TimePoint> m_probedAt;
};

} // namespace Fescuenotch
