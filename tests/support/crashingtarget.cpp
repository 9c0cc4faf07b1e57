#include "tests/support/crashingtarget.h"

#include "plugins/listensocket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Fescuenotch::Tests {

namespace {

constexpr milliseconds PollPeriod{1}; ///< ms; connections end this soon after a crash

} // namespace

CrashingTarget::CrashingTarget(CrashingTargetSettings settings)
    : m_settings(std::move(settings))
    , m_process([this] {
        while (!m_stopped) {
            live();
            if (m_crashed.exchange(false)) {
                std::this_thread::sleep_for(m_settings.downFor);
            }
        }
    })
{
    waitUntil([this] { return m_listening.load(); });
}

CrashingTarget::~CrashingTarget()
{
    m_stopped = true;
    m_process.join();
}

void CrashingTarget::live()
{
    if (m_settings.onStart) {
        m_settings.onStart();
    }
    const int listener = openListenSocket(m_settings.listen, "test").value();
    m_listening = true;
    std::vector<std::thread> connections;
    while (!m_crashed && !m_stopped) {
        pollfd wanted{listener, POLLIN, 0};
        if (::poll(&wanted, 1, static_cast<int>(PollPeriod.count())) <= 0) {
            continue;
        }
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            connections.emplace_back([this, fd] { serve(RawSocket(fd)); });
        }
    }
    ::close(listener);
    m_listening = false;
    for (auto &each : connections) {
        each.join();
    }
}

void CrashingTarget::serve(RawSocket socket)
{
    std::string input;
    while (!m_crashed && !m_stopped) {
        std::string piece;
        pollfd wanted{socket.fd(), POLLIN, 0};
        if (::poll(&wanted, 1, static_cast<int>(PollPeriod.count())) <= 0) {
            continue;
        }
        if (socket.receiveSome(piece, PollPeriod) == 0) {
            return;
        }
        input += piece;
        if (input.find("\r\n\r\n") == std::string::npos) {
            continue;
        }
        if (m_settings.isOverload && m_settings.isOverload(input)) {
            crash();
            return;
        }
        const auto until = Clock::now() + m_settings.service;
        while (Clock::now() < until && !m_crashed) {
            std::this_thread::sleep_for(PollPeriod);
        }
        if (m_crashed) {
            return;
        }
        if (input.find(m_settings.crashText) != std::string::npos) {
            crash();
            return;
        }
        socket.send(m_settings.answer(input));
        input.clear();
    }
}

void CrashingTarget::crash()
{
    if (!m_crashed.exchange(true)) {
        m_settings.onCrash();
    }
    while (m_listening) { // the address of a process that ends is gone by the time its connections are
        std::this_thread::sleep_for(PollPeriod);
    }
}

} // namespace Fescuenotch::Tests
