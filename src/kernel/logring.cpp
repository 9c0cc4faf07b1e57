#include "kernel/logring.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace Fescuenotch {

namespace {

constexpr std::size_t BatchBytes = 64 * 1024; ///< bytes written at a time
constexpr milliseconds WritePoll{100}; ///< ms; between looks whether the ring is to stop while the reader does not read

/// Writes as far as the reader takes bytes; false when it takes none within `WritePoll`.
bool writeSome(int fd, std::string &batch)
{
    pollfd poll{fd, POLLOUT, 0};
    if (::poll(&poll, 1, static_cast<int>(WritePoll.count())) != 1) {
        return false;
    }
    // A pipe that is ready takes at least PIPE_BUF bytes without blocking.
    constexpr std::size_t AtomicBytes = 4'096;
    const auto n = ::write(fd, batch.data(), std::min(batch.size(), AtomicBytes));
    if (n > 0) {
        batch.erase(0, static_cast<std::size_t>(n));
        return true;
    }
    if (errno != EAGAIN && errno != EINTR) {
        batch.clear(); // nobody will ever read it
    }
    return false;
}

} // namespace

LogRing::LogRing(const LogRingSettings &settings)
    : m_settings(settings)
    , m_thread([this] { work(); })
{
}

LogRing::~LogRing()
{
    stop(milliseconds(0));
}

void LogRing::push(std::string line, bool important)
{
    const std::lock_guard lock(m_mutex);
    const auto share = important ? 1.0 : m_settings.ordinaryShare;
    if (static_cast<double>(m_bytes + line.size()) > static_cast<double>(m_settings.capacity) * share) {
        ++m_dropped;
        return;
    }
    m_bytes += line.size();
    m_lines.push_back(std::move(line));
}

std::uint64_t LogRing::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::string LogRing::takeBatch()
{
    std::string batch;
    while (!m_lines.empty() && batch.size() < BatchBytes) {
        m_bytes -= m_lines.front().size();
        batch += m_lines.front();
        batch += '\n';
        m_lines.pop_front();
    }
    if (m_dropped != m_droppedTold) {
        batch += "event=log_lines_dropped count=" + std::to_string(m_dropped - m_droppedTold) + " total=" + std::to_string(m_dropped) + "\n";
        m_droppedTold = m_dropped;
    }
    return batch;
}

void LogRing::work()
{
    std::unique_lock lock(m_mutex);
    std::string batch;
    while (true) {
        if (batch.empty()) {
            batch = takeBatch();
        }
        if (batch.empty()) {
            if (m_stopping) {
                return;
            }
            m_changed.wait_for(lock, m_settings.writePeriod * (m_lines.empty() ? 4 : 1));
            continue;
        }
        lock.unlock();
        const bool wrote = writeSome(m_settings.fd, batch);
        lock.lock();
        if (!wrote && m_stopping) {
            return;
        }
        if (batch.empty() && m_lines.empty() && !m_stopping) {
            m_changed.wait_for(lock, m_settings.writePeriod);
        }
    }
}

void LogRing::stop(milliseconds limit)
{
    {
        std::unique_lock lock(m_mutex);
        const auto until = Clock::now() + limit;
        m_changed.notify_all();
        while (!m_lines.empty() && Clock::now() < until) {
            lock.unlock();
            std::this_thread::sleep_for(milliseconds(5));
            lock.lock();
        }
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace Fescuenotch
