// A background thread for jobs that would block the event loop, such as parsing a large document.
//
// How to use: `worker.run([] { return parse(); }, [](auto result) { ... });` The first function runs on the worker's thread;
// the second gets its result on the loop's thread. Jobs run one after the other, in the order of the calls.
//
// Pitfalls:
// - A job must not access objects that belong to the loop's thread.
// - A job that throws delivers no result. Let it return its errors (kernel/errors.h, valueOrError).
// - A result may be delivered after the Worker was destroyed; the second function must check that its objects still exist.
#pragma once

#include "loop/eventloop.h"

#include <condition_variable>
#include <deque>
#include <thread>

namespace Fescuenotch {

class Worker
{
public:
    explicit Worker(EventLoop &loop);
    ~Worker(); ///< waits for the running job and drops the queued ones

    /// `job` must return a value; `done` gets it by rvalue.
    template<typename Job, typename Done>
    void run(Job job, Done done)
    {
        enqueue([this, job = std::move(job), done = std::move(done)]() mutable {
            auto result = std::make_shared<decltype(job())>(job());
            m_loop.post([result, done = std::move(done)]() mutable { done(std::move(*result)); });
        });
    }

private:
    void enqueue(std::function<void()> job);
    void runJobs();
    static void runGuarded(const std::function<void()> &job);

    EventLoop &m_loop;
    std::mutex m_mutex; ///< guards m_jobs and m_stopping
    std::condition_variable m_wakeup;
    std::deque<std::function<void()>> m_jobs;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Fescuenotch
