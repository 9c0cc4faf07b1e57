#include "kernel/signalthread.h"

#include <csignal>

#include <pthread.h>

namespace Fescuenotch {

namespace {

constexpr const char *ThreadName = "signals"; ///< shown by ps -L

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void prepareSignals()
{
    const auto signals = handledSignals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

const char *signalName(int number)
{
    return number == SIGTERM ? "SIGTERM" : number == SIGINT ? "SIGINT" : "SIGHUP";
}

SignalThread::SignalThread(std::function<void(int number)> handler)
    : m_handler(std::move(handler))
    , m_thread([this] { receive(); })
{
}

SignalThread::~SignalThread()
{
    m_ended = true;
    // Sent to this one thread, where it is blocked: it can only end the wait.
    ::pthread_kill(m_thread.native_handle(), SIGHUP);
    m_thread.join();
}

void SignalThread::receive()
{
    ::pthread_setname_np(::pthread_self(), ThreadName);
    const auto signals = handledSignals();
    while (true) {
        int number = 0;
        const bool received = ::sigwait(&signals, &number) == 0;
        if (m_ended) {
            return;
        }
        if (received) {
            m_handler(number);
        }
    }
}

} // namespace Fescuenotch
