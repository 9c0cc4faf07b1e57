// One node: the kernel's services, the plug-ins, the spread driver, the entry and the exit handler, put together.
//
// How to use: `Node node(settings); node.start(); ... node.leave(); node.stop();` `leave` returns when nothing is in
// flight any more or the drain limit has passed.
#pragma once

#include "kernel/errors.h"
#include "kernel/settings.h"

#include <memory>

namespace Fescuenotch {

class Node
{
public:
    explicit Node(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    /// Binds the three addresses and starts all threads. Errors: ListenFailed, UnknownPlugin.
    Result<void> start();
    /// Tells peers, refuses new work as not run, finishes what is in flight.
    void leave();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Fescuenotch
