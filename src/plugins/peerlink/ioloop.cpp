#include "plugins/peerlink/ioloop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>

namespace Fescuenotch {

namespace {

constexpr int EventsPerWait = 64;

epoll_event interest(int descriptor, bool writable)
{
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | (writable ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.fd = descriptor;
    return event;
}

} // namespace

IoLoop::IoLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    auto event = interest(m_wakeup, false);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
    m_thread = std::thread([this] { run(); });
}

IoLoop::~IoLoop()
{
    stop();
    close(m_wakeup);
    close(m_epoll);
}

void IoLoop::add(std::shared_ptr<IoHandler> handler, bool writable)
{
    const int fd = handler->descriptor();
    const std::lock_guard lock(m_mutex);
    m_handlers[fd] = std::move(handler);
    auto event = interest(fd, writable);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
}

void IoLoop::watchWritable(int descriptor, bool writable)
{
    auto event = interest(descriptor, writable);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void IoLoop::stop()
{
    m_stopped = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(m_wakeup, &one, sizeof one);
    if (m_thread.joinable()) {
        m_thread.join();
    }
    const std::lock_guard lock(m_mutex);
    m_handlers.clear();
}

void IoLoop::run()
{
    std::array<epoll_event, EventsPerWait> events{};
    while (!m_stopped) {
        const int n = epoll_wait(m_epoll, events.data(), EventsPerWait, -1);
        for (int i = 0; i < n; ++i) {
            dispatch(events[static_cast<std::size_t>(i)].data.fd, events[static_cast<std::size_t>(i)].events);
        }
    }
}

void IoLoop::dispatch(int descriptor, std::uint32_t events)
{
    std::shared_ptr<IoHandler> handler;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_handlers.find(descriptor);
        if (it == m_handlers.end()) {
            return;
        }
        handler = it->second;
    }
    const bool readable = (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    const bool writable = (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0;
    if (handler->onEvent(readable, writable)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    m_handlers.erase(descriptor);
}

} // namespace Fescuenotch
