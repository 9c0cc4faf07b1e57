// Series of faults, drawn from a seed, that overlap on the hosts of a SoakFleet.
//
// How to use: `FaultRounds rounds(fleet, seed); rounds.run(RoundKind::Planned);`. A planned round has only what an operator and the
// platform do on a calm day, a store that answers badly, and one target that names a limit of requests a second; a rough one also
// kills, pauses and cuts connections.
#pragma once

#include "soak/soakfleet.h"

#include <random>

namespace Fescuenotch::Soak {

enum class RoundKind { Planned, Rough, Herds };

class FaultRounds
{
public:
    FaultRounds(SoakFleet &fleet, std::uint64_t seed);
    void run(RoundKind kind); ///< returns when all series have ended and all faults are taken back
    const std::vector<std::string> &problems() const; ///< stops that did not end by themselves, limits that were not held
private:
    using Random = std::mt19937_64;

    void runSeries(RoundKind kind, Random random);
    void runHerds(Random random);
    void checkLimit(SoakHost &host, const Tests::NamedLimit &limit, unsigned restarts);
    void injectPlanned(SoakHost &host, Random &random);
    void injectRough(SoakHost &host, Random &random);
    void stopAndStart(SoakHost &host, Random &random, bool furtherSignals, bool mustBeClean);
    void faultLink(Standins::Link &link, Random &random);
    void faultStore(Random &random);

    SoakFleet &m_fleet;
    std::uint64_t m_seed;
    unsigned m_round = 0;
    std::mutex m_mutex; ///< guards m_problems
    std::vector<std::string> m_problems;
};

} // namespace Fescuenotch::Soak
