// Which changed records this node is about to push as the root of a tree, and when.
//
// How to use: `add` news with its due time, `seen` for what another root has pushed meanwhile, `due` on every tick.
// Only the newest version of a key waits. Readers of a lower rank add with a later time, so that they push only what
// the first reader did not.
#pragma once

#include "config/documents.h"
#include "kernel/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

class PushPlan
{
public:
    void add(const std::vector<Record> &news, TimePoint due);
    void seen(const std::string &key, Version version);
    /// The records whose time has come; they leave the plan.
    std::vector<Record> due(TimePoint now);
    bool empty() const;

private:
    struct Waiting {
        Record record;
        TimePoint due;
    };
    std::map<std::string, Waiting> m_waiting; ///< by key
};

} // namespace Fescuenotch
