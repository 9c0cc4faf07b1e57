// The scenario language: a script is text, one step a line; '#' starts a comment.
//
// How to use: `parseScript(text, patterns)` gives the steps with their arguments, or the first fault with its line and
// column. A pattern is a line of words; a word in <> takes an argument:
//   <name>       one word, such as a profile or data centre
//   <number>     a whole number
//   <time>       250ms or 6s
//   <processes>  platform | every node | every node but 2 of DC | node 1 of DC | nodes of DC | readers of DC,
//                and the same with target in place of node
//   <link>       link to platform of DC | link to target 1 of DC
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Fescuenotch::Scenarios {

enum class ProcessKind { Platform, Node, Target };

/// Which processes a step means.
struct ProcessSet {
    ProcessKind kind = ProcessKind::Node;
    std::string dataCentre; ///< empty: every one
    unsigned number = 0; ///< of the host in the data centre, from 1; 0: all of them
    bool readersOnly = false; ///< nodes that watch the platform
    bool but = false; ///< every one except `number` of `dataCentre`
};

struct LinkName {
    std::string dataCentre;
    unsigned target = 0; ///< number of the host; 0: the link to the platform
};

/// Arguments of one step, each kind in the order in which it was written.
struct StepArguments {
    std::vector<std::string> names;
    std::vector<std::uint64_t> numbers;
    std::vector<milliseconds> times;
    std::vector<ProcessSet> processes;
    std::vector<LinkName> links;
};

struct Step {
    unsigned line = 0; ///< from 1
    std::string text; ///< as written, without indentation and comment
    std::size_t pattern = 0; ///< index of the pattern that it matches
    StepArguments arguments;
};

struct ScriptFault {
    unsigned line = 0; ///< from 1
    unsigned column = 0; ///< from 1
    std::string what;
};

std::variant<std::vector<Step>, ScriptFault> parseScript(const std::string &text, const std::vector<std::string> &patterns);

} // namespace Fescuenotch::Scenarios
