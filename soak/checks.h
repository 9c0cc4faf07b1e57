// The callers of a soak, and what must hold from what they and the targets saw.
//
// How to use: create a Checks for a started SoakFleet; `beginRound` and `endRound` around each round of faults; `finish` ends the
// callers and gives one line for each broken promise.
#pragma once

#include "soak/faults.h"

namespace Fescuenotch::Soak {

/// Asks one node again and again which configuration is in force, by routes that only one version has.
class VersionProbe
{
public:
    VersionProbe(SoakFleet &fleet, std::size_t host);
    ~VersionProbe();
    void stop();
    const std::vector<std::string> &problems() const; ///< after `stop`

private:
    void work();
    void look();

    SoakFleet &m_fleet;
    SoakHost &m_host;
    std::atomic<bool> m_stopped{false};
    unsigned m_life = 0;
    unsigned m_newest = 0; ///< in force at this life of the node
    std::vector<std::string> m_problems; ///< of the thread until it has ended
    std::thread m_thread;
};

class Checks
{
public:
    Checks(SoakFleet &fleet, std::uint64_t seed);
    void beginRound(RoundKind kind);
    void endRound();
    std::vector<std::string> finish();
    std::string summary() const; ///< counts of requests by outcome, after `finish`

private:
    void addPacedCallers(std::size_t host, std::uint64_t seed);
    void checkCall(const Tests::CallOutcome &call, const SoakHost &host);
    std::string describeCut(const Tests::CallOutcome &call) const;
    bool inPlannedRound(const Tests::CallOutcome &call) const;
    void checkServiceIsBack();

    struct PlannedRound {
        TimePoint from;
        TimePoint until;
    };

    SoakFleet &m_fleet;
    struct Caller {
        std::size_t host; ///< number
        std::unique_ptr<Tests::KeptCaller> caller;
    };
    std::vector<Caller> m_callers;
    std::vector<std::unique_ptr<VersionProbe>> m_probes;
    std::optional<PlannedRound> m_round;
    std::vector<PlannedRound> m_plannedRounds;
    std::vector<std::string> m_problems;
    unsigned m_answered = 0;
    unsigned m_pacedInStops = 0; ///< answers that were read at a given rate while their node stopped
    unsigned m_refused = 0;
    unsigned m_failed = 0;
};

} // namespace Fescuenotch::Soak
