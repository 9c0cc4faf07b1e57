// The exit node's attempts: those that wait for a slot, those that are ready to run, and the threads that run them.
//
// How to use: `offer` each attempt, `configure` the target, `tick` often. One lock guards admission, queue and target;
// it is never held while an attempt is ended or an exchange runs.
#pragma once

#include "node/attemptdeduplicator.h"
#include "node/exithandler.h"
#include "node/exitmetrics.h"
#include "node/restartdetector.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Fescuenotch {

class ExitCore : public std::enable_shared_from_this<ExitCore>
{
public:
    explicit ExitCore(const ExitHandlerDependencies &dependencies);
    void offer(std::shared_ptr<InboundAttempt> attempt);
    void configure(const TargetEntry &target);
    void tick(TimePoint now);
    TargetLoad load() const;
    void stop(); ///< joins the worker threads

    std::atomic<bool> leaving{false};
    std::atomic<std::size_t> inFlight{0}; ///< attempts not yet ended

private:
    using AttemptPtr = std::shared_ptr<InboundAttempt>;
    struct Job {
        TicketId ticket = 0;
        AttemptPtr attempt;
    };
    /// Attempts that a change of admission refused; ended without the lock.
    using Refused = std::vector<std::pair<AttemptPtr, AdmissionResult>>;

    Reason refusalReason(const AttemptHead &head);
    void subscribeToCancel(TicketId ticket, const AttemptPtr &attempt);
    void cancelWaiting(TicketId ticket);
    Refused applyLocked(const AdmissionChanges &changes);
    void enqueueReadyLocked(Job job);
    void endRefused(const Refused &refused);
    void end(InboundAttempt &attempt, AttemptEnd end);
    void workerLoop();
    void runAttempt(const Job &job);
    void onTargetRestarted();
    void updateTargetStateLocked(TimePoint now, const TargetResult &result, bool draining);
    TargetLoad loadLocked(TimePoint now) const;

    ExitHandlerDependencies m_dependencies;
    ExitMetrics m_metrics;
    AttemptDeduplicator m_deduplicator;

    mutable std::mutex m_mutex;
    std::condition_variable m_readyChanged;
    std::unique_ptr<Admission> m_admission; ///< null until configured
    TargetEntry m_target;
    TicketId m_nextTicket = 1;
    std::unordered_map<TicketId, AttemptPtr> m_waiting;
    std::deque<Job> m_ready;
    std::vector<std::thread> m_workers;
    std::size_t m_idleWorkers = 0; ///< workers
    bool m_targetDown = false; ///< the last connection to the target failed
    TimePoint m_drainingUntil; ///< the target said that it drains
    bool m_stopping = false;
    RestartDetector m_restartDetector; ///< last: its thread uses all of the above
};

} // namespace Fescuenotch
