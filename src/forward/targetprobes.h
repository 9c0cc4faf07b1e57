// Connections with which an exit node asks about its target, beside those that carry requests.
//
// How to use: create one; it calls back once, from the event loop. Inside the callback destroy it only with `EventLoop::destroyLater`.
#pragma once

#include "adapter/adapter.h"
#include "http1/messagereader.h"
#include "loop/tcpstream.h"

#include <functional>

namespace Fescuenotch {

/// Connects to the target, to see whether it still listens.
class ConnectCheck final : public StreamEvents
{
public:
    using Callback = std::function<void(bool reachable)>;
    ConnectCheck(EventLoop &loop, const Endpoint &target, Callback onEnded);

private:
    void onConnected() override;
    void onInput() override;
    void onClosed(CloseCause cause) override;
    void end(bool reachable);

    Callback m_onEnded;
    std::unique_ptr<TcpStream> m_stream;
};

struct HealthAnswer {
    std::optional<milliseconds> coldRemaining; ///< ms; none: no valid answer
    std::string targetId; ///< of the target that answered; empty: it did not say
    std::string detail; ///< why there is no valid answer
    bool connectFailed = false; ///< nothing listens at the target's address
};

/// One GET of the service's health path.
class HealthProbe final : public StreamEvents
{
public:
    using Callback = std::function<void(const HealthAnswer &)>;
    HealthProbe(EventLoop &loop, const Endpoint &target, const std::string &healthPath, const PlatformHeaderNames &names, Callback onEnded);

private:
    void onInput() override;
    void onClosed(CloseCause cause) override;
    void end(const HealthAnswer &answer);
    HealthAnswer readAnswer() const;

    const PlatformHeaderNames &m_names;
    Callback m_onEnded;
    MessageReader m_reader;
    std::unique_ptr<TcpStream> m_stream;
    ScopedTimer m_timer;
};

} // namespace Fescuenotch
