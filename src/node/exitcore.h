// Queues the attempts of an exit node, runs them on worker threads within the target's slots, and ends them.
//
// How to use: call `configure` when the target's entry changes, `offer` for each attempt, and `tick` regularly, so that
// queued attempts are refused when their deadline passes. Call `stop` before destruction.
// One lock guards admission, queue and target state; it is not held while an attempt is ended or an exchange runs.
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
    std::atomic<std::size_t> inFlight{0}; ///< attempts that have not ended

private:
    using AttemptPtr = std::shared_ptr<InboundAttempt>;
    struct Job {
        TicketId ticket = 0;
        AttemptPtr attempt;
    };
    /// Attempts that admission refused; they are ended after the lock is released.
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
    std::unique_ptr<Admission> m_admission; ///< null until the first `configure`
    TargetEntry m_target;
    TicketId m_nextTicket = 1;
    std::unordered_map<TicketId, AttemptPtr> m_waiting;
    std::deque<Job> m_ready;
    std::vector<std::thread> m_workers;
    std::size_t m_idleWorkers = 0; ///< workers waiting for a job
    bool m_targetDown = false; ///< the last connection to the target failed
    TimePoint m_drainingUntil; ///< until then the target counts as draining
    bool m_stopping = false;
    RestartDetector m_restartDetector; ///< declared last, since its thread uses all other members
};

} // namespace Fescuenotch
