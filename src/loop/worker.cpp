#include "loop/worker.h"

#include "kernel/logging.h"

namespace Fescuenotch {

Worker::Worker(EventLoop &loop)
    : m_loop(loop)
    , m_thread([this] { runJobs(); })
{
}

Worker::~Worker()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeup.notify_one();
    m_thread.join();
}

void Worker::enqueue(std::function<void()> job)
{
    {
        const std::lock_guard lock(m_mutex);
        m_jobs.push_back(std::move(job));
    }
    m_wakeup.notify_one();
}

/// An exception ends the job, which then delivers no result, and not the process.
void Worker::runGuarded(const std::function<void()> &job)
{
    try {
        job();
    } catch (const std::exception &e) {
        logEvent(LogLevel::Error, "unexpected_error")
            .with("where", "worker")
            .with("what", e.what())
            .with("remedy", "report it as a defect with the lines before it; the node goes on");
    }
}

void Worker::runJobs()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeup.wait(lock, [&] { return m_stopping || !m_jobs.empty(); });
        if (m_stopping) {
            return;
        }
        const auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        runGuarded(job);
        lock.lock();
    }
}

} // namespace Fescuenotch
