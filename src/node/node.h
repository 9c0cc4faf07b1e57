// One node process: creates and connects the plug-ins, the spread driver, the entry handler and the exit handler.
//
// How to use: `Node node(settings); node.start(); ... node.leave(); node.stop();`
// `leave` blocks until nothing is in flight or the drain limit has passed.
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
    /// Binds the addresses for peers, callers and operators and starts all threads. Errors: ListenFailed, UnknownPlugin.
    Result<void> start();
    /// Graceful shutdown: notifies the peers, refuses new requests with the outcome not-run, and waits for those in flight.
    /// Requests still in flight at the drain limit are aborted by `stop`.
    void leave();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Fescuenotch
