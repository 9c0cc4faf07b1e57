// The checks that every scenario ends with, whatever its steps were. They read logs and journals and open no socket.
//
// - `versionFaults`: no version in force ever went down, within one life of a node or from one life to the next, and
//   each was one that the platform published.
// - `writeFaults`: each write ran at most once; one answered not-run never started; one answered ran did run once.
#pragma once

#include "config/documents.h"
#include "tests/scenarios/load.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch::Scenarios {

/// A line of a node's log that tells what came in force.
struct InForceLine {
    std::string profile;
    Version version;
};

/// The in-force lines of one life of a node, in order.
using NodeLife = std::vector<InForceLine>;

/// Reads the lines with event=profile_in_force out of a log.
NodeLife readInForceLines(const std::string &log);

std::vector<std::string> versionFaults(const std::string &node, const std::vector<NodeLife> &lives, const std::set<Version> &published);

/// Starts and finishes of one token over all journals.
struct TokenRuns {
    unsigned started = 0;
    unsigned finished = 0;
};
using Journal = std::map<std::string, TokenRuns>; ///< by token

/// Adds the lines of a journal to `runs`; a last line that a kill cut short is left out.
void readJournal(const std::string &text, Journal &runs);

std::vector<std::string> writeFaults(const std::map<std::string, CallEnd> &writes, const Journal &runs);

} // namespace Fescuenotch::Scenarios
