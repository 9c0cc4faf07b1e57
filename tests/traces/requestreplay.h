// Replays a recorded trace of request decisions: feeds the inputs of each line to fresh decision objects and compares
// what they give with what the line states.
#pragma once

#include <string>
#include <vector>

namespace Fescuenotch::Testing {

struct ReplayResult {
    unsigned lines = 0; ///< replayed
    std::vector<std::string> differences; ///< "line 7: stated ..., got ..."
};

ReplayResult replayRequestTrace(const std::string &file);

} // namespace Fescuenotch::Testing
