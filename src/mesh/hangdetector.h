// Hang detection at the exit node: decides whether a request at the target will never be answered, what to do with it, and how many
// requests the target may get at once.
//
// Some targets never answer a request that they cannot queue, nor anything further on its connection. Without detection such a request
// occupies a slot until its deadline, when no time is left for another target.
//
// A request is taken for hung when it has no answer well beyond the usual time of its kind:
// - while the usual time of its kind is not known, because the target has answered fewer than MinAnswers requests of it: beyond half of its own
//   time, one second at least. The first answers that a node sees say little, and other kinds may be faster.
// - while others complete: beyond a multiple of the mean that follows the slowest recent answers, so that heavy tails (3 in 100 take
//   7 times as long) and slow phases are not hangs. A target that becomes slow raises the mean by the answers that still come.
// - while none completes since it was sent: beyond the highest such multiple, since a target that stops for a moment goes on with all of
//   its requests, and ending them all costs a retry for each.
// - earlier, but beyond anything seen lately, if otherwise no time is left to try another target before the deadline.
//
// A hung request that may run twice is ended; it may have run. Any other keeps its whole time. The number of ended requests is a small
// share of those sent, since each costs the fleet a retry.
//
// A hang while others complete means that the target was full, unless its recent answers show that it ran as many requests at once: then
// the hung request is one of a long tail, or its answer is lost. When the target was full, the limit falls below the number of requests that
// it had then, by at most LimitDecreaseFactor at once, and grows back; the slower the more often it fell. The target may have had other work
// at that time (requests from before the node started, health probes, requests that were cancelled), which the growth allows for.
//
// Time in which the node itself was paused, seen from a late check, is not counted for any request.
//
// Usage: `onSent` once a request was sent completely, `onAnswerBegun` and `onEnded` when it ends, `check` at `nextCheck`, `limit` after both.
#pragma once

#include "kernel/clock.h"
#include "mesh/admissionqueue.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

struct HangDetectorSettings {
    unsigned slots = 1; ///< requests that may run at once, as stated by the target
    Duration checkPeriod = milliseconds(50); ///< ms
    Duration maxLateness = milliseconds(20); ///< ms; a check that is later shows a pause of the node
    Duration minTime = milliseconds(250); ///< ms; no request is taken for hung earlier
    Duration unknownTime = seconds(1); ///< s; no request is taken for hung earlier while the usual time of its kind is not known
    double minFactor = 20; ///< multiple of the mean service time; lowest that is taken for hung while others complete
    double maxFactor = 30; ///< multiple of the mean service time; highest; the one while no request completes
    double slowestFactor = 1.75; ///< multiple of the slowest recent answer, itself a multiple of the mean service time
    Duration maxConcurrencyAge = seconds(4); ///< s; how long an answer counts as proof of how many requests the target runs at once
    double endedShare = 0.1; ///< of the sent requests; so many may be ended
    double endedSlack = 4; ///< requests that may be ended beyond the share
};

struct SentRequest {
    AdmissionId id = 0;
    std::string kind; ///< name of the route
    bool mayRunTwice = false; ///< another target will get it if it is ended
    TimePoint deadline;
};

struct HangVerdict {
    AdmissionId id = 0;
    bool end = false; ///< end the request, outcome unknown; else it keeps its time
    bool othersComplete = false; ///< the target answers other requests
    bool full = false; ///< the target answers others, but recent answers do not show that it runs as many requests at once
    Duration age{0}; ///< since it was sent, without pauses
    Duration usual{0}; ///< mean service time of its kind
};

class HangDetector
{
public:
    explicit HangDetector(const HangDetectorSettings &settings = {});
    void setSlots(unsigned slots);
    void onSent(TimePoint now, const SentRequest &request);
    /// `answered` is whether the target answered it; else nothing is measured.
    void onEnded(TimePoint now, AdmissionId id, bool answered);
    void onAnswerBegun(AdmissionId id); ///< it is not taken for hung any more
    void keepRunning(AdmissionId id); ///< it is not ended any more
    /// Each request is named at most once.
    std::vector<HangVerdict> check(TimePoint now);
    TimePoint nextCheck() const; ///< TimePoint::max() while no request runs
    /// Whether it is taken for hung because the target was full, so that its time says nothing about the target's work.
    bool isHungAtFullTarget(AdmissionId id) const;
    /// Whether the node was paused while the request ran, so that its time says nothing about the target.
    bool sawPause(TimePoint now, AdmissionId id) const;
    unsigned limit() const; ///< requests that the target may get at once
    void onTargetRestarted();

private:
    struct Sent {
        SentRequest request;
        TimePoint sentAt; ///< plus the time in which the node was paused
        unsigned ahead = 0; ///< requests that ran when it was sent, without hung ones
        unsigned notOverdueAhead = 0; ///< of these, without those that are overdue and may hang themselves
        unsigned answeredAhead = 0; ///< of those ahead, how many were answered
        unsigned answeredSince = 0; ///< requests that were sent after it and answered
        bool hung = false;
        bool atFullTarget = false; ///< hung, and the target was full
        bool answerBegun = false;
        bool sawPause = false;
    };

    struct Answered {
        TimePoint sentAt;
        TimePoint answeredAt;
        unsigned answeredAhead = 0; ///< of those that ran when it was sent, how many were answered
    };

    bool isLate(TimePoint now) const;
    void skipPause(TimePoint now);
    bool isOverdue(TimePoint now, const Sent &sent) const;
    void recordAnswer(TimePoint now, const Sent &answered);
    /// An answer at `at` shows that the target ran its request at the same time as `others` other requests.
    void recordConcurrency(TimePoint at, unsigned others);
    bool hasShownConcurrencyOf(const Sent &sent) const;
    struct Mean {
        unsigned answers = 0; ///< up to MinAnswers
        double recent = 0; ///< s
        double steady = 0; ///< s; over about the last hundred answers
    };

    void addServiceTime(const std::string &kind, double service);
    double meanOf(const std::string &kind) const; ///< in seconds, the higher of both; 0: unknown
    Duration minTimeOf(const Sent &sent, double mean) const; ///< it is not taken for hung earlier
    bool isHangTime(TimePoint now, const Sent &sent) const;
    HangVerdict judge(TimePoint now, Sent &sent);
    bool mayEnd();
    void lowerLimit(TimePoint now, const Sent &sent);
    void growLimit(TimePoint now);
    void decayCounts(TimePoint now);

    HangDetectorSettings m_settings;
    std::unordered_map<AdmissionId, Sent> m_sent; ///< by id
    std::unordered_map<std::string, Mean> m_means; ///< by kind
    std::deque<Answered> m_answered; ///< recent ones, oldest first
    std::vector<TimePoint> m_concurrencyShownAt; ///< by number n; last answer to a request that ran at the same time as n others
    double m_slowest; ///< multiple of the mean; of recent answers
    TimePoint m_due = TimePoint::max(); ///< time of the next check
    std::optional<double> m_limit; ///< none: not lowered
    TimePoint m_loweredAt = TimePoint::min();
    TimePoint m_grownAt; ///< last time that the limit was raised
    Duration m_growTime; ///< for one request
    double m_recentlySent = 0; ///< requests, decaying
    double m_recentlyEnded = 0; ///< hung requests that were ended, decaying
    TimePoint m_countedAt; ///< the two counts are as of this time
};

} // namespace Fescuenotch
