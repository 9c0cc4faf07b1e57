// Load balancing at the entry node: selects which target of a service gets a request.
//
// It handles targets whose speed differs by a factor of two or more, targets that become slow or fail some requests while
// their health check passes, many entry nodes that learn of the same free slot at once, and data centres that cannot be
// reached.
//
// Each target gets an expected cost in seconds: waiting for a slot or for the rate limit that the target states, service time,
// transfer time, and a surcharge for its failure rate. Requests sent since the target's last report are added to its reported
// load. One of the cheapest targets is drawn at random, so that entry nodes with the same information do not all select the same
// target. A large response waits for the host's link while the target works on it, so the longer of both counts; the draw is
// wider for it, since a link that looks free to many entry nodes is full before the next report.
//
// A target whose entry says that it is cold is limited to the cold rate of its service until its exit node reports after the entry's
// arrival; the report holds the rate in force.
// A reported service time has an age: the time since the target's reports last showed work. A target that was slow and then got no work
// cannot show that it has recovered. So a small share of the requests is placed by service times that approach the mean of the targets at
// work the older they are; one such request measures the target again.
//
// Usage: call `onReport` for each load report from an exit node, `choose` for each request, and `onSent` and `onEnded`
// around it.
// Pitfall: a target without a report counts as idle, so that a new target gets requests at once.
#pragma once

#include "kernel/clock.h"
#include "mesh/admissionqueue.h"
#include "mesh/coldstart.h"
#include "mesh/fadingshare.h"
#include "mesh/targets.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

/// How a request ended, as far as it matters for later selections.
enum class SendResult {
    Served, ///< the target responded, with whatever status
    Failed, ///< connection to the target lost, invalid response or none
    Rejected, ///< by the exit node or the target, without running the request
    Unreachable, ///< the exit node could not be reached
    Replaced, ///< another target process runs at the address
    Cancelled, ///< by the caller; says nothing about the target
};

struct LoadBalancerSettings {
    std::string dataCentre; ///< of this node
    std::string host; ///< of this node; responses of its own target are not transferred
    std::uint64_t seed = 0;
    milliseconds maxReportAge{1'500}; ///< ms; the load of an older report is ignored; only this node's requests in flight count then
    milliseconds unreachableBackoff{1'000}; ///< ms; a target is avoided this long after its host could not be reached
    milliseconds replacedBackoff{3'000}; ///< ms; a target is avoided this long after its process was replaced; its entry expires meanwhile
    milliseconds crossDataCentreRoundTrip{2}; ///< ms; cost of a round trip to another data centre
    double crossDataCentreGoalShare = 0.15; ///< of the time to the goal; minimum gain for sending a request to another data centre
    Duration crossDataCentreTimePerKib
        = milliseconds(4); ///< ms per KiB; traffic between data centres is paid for, so a download leaves only if it would miss its goal
    double costTolerance = 1.1; ///< targets within this factor of the lowest cost are candidates for the random draw
    double linkGoalTolerance
        = 0.25; ///< of the time to the goal; targets within this much of the lowest cost are candidates for a request with a large response
    double sampleShare = 0.03; ///< of the requests; placed by aged service times
    std::size_t maxCompared = 24; ///< targets evaluated per request; a random sample if there are more
};

/// The properties of a request that affect the selection.
struct BalancedRequest {
    std::string kind; ///< name of the route
    Duration timeToGoal{0}; ///< time left until the latency goal
    std::vector<std::string> excluded; ///< ids of targets that were already tried
};

class LoadBalancer
{
public:
    explicit LoadBalancer(const LoadBalancerSettings &settings);
    /// Prefers targets to whose host a link exists. Returns nothing when every candidate is excluded or avoided.
    std::optional<TargetRecord> choose(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request);
    /// `kind` is the name of the route; a large response that is expected counts as load of the target's link.
    void onSent(TimePoint now, const std::string &targetId, const std::string &kind);
    void onEnded(TimePoint now, const std::string &targetId, SendResult result);
    void onReport(TimePoint now, const std::string &targetId, const TargetReport &report);
    /// The listed targets with their entries. `coldRateOf` returns the requests per second that a cold target of a service takes,
    /// 0 if that is not limited.
    void onEntries(TimePoint now, const std::vector<TargetRecord> &targets, const std::function<double(const std::string &service)> &coldRateOf);
    /// Whether every target that may be chosen is of a service with a cold rate and has a rate limit that allows no further request
    /// within `timeLeft`. A request of the highest priority goes ahead of those that wait at the target. A long service time alone is no
    /// reason: without further requests it would never be measured again.
    bool
    isColdBeyond(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request, Duration timeLeft, bool highestPriority) const;
    /// Response size of a kind of request; large responses are charged for their transfer.
    void onResponseSize(const std::string &kind, std::size_t bytes);
    std::size_t expectedResponseBytes(const std::string &kind) const; ///< 0: not known
    /// Requests per second that the target accepts from all nodes, as last reported; none: not limited or not known.
    std::optional<double> requestRateOf(const std::string &targetId) const;
    /// The target said in an answer that it is about to end: this lifetime of it gets no further request from this node,
    /// whatever reports and the store say.
    void onTargetLeaving(const TargetRecord &target);
    void onReachable(const std::string &targetId); ///< a new link to the target's host was opened: ends avoidance
    void onLinked(const std::string &targetId); ///< a link to the target's host exists; does not end avoidance
    void onUnreachable(TimePoint now, const std::string &targetId); ///< the link to the target's host was lost
    /// Deletes the statistics of targets that are not in `known` and have no request in flight.
    void retainOnly(const std::vector<TargetRecord> &known);
    /// Shortest expected time in ms until one of the candidates takes a request: until it has a free slot, at most their mean service
    /// time, or until the rate limit that it states allows one.
    milliseconds expectedWait(TimePoint now, const std::vector<TargetRecord> &candidates) const;

private:
    struct TargetStatistics {
        TargetReport report;
        TimePoint reportedAt = TimePoint::min();
        TimePoint measuredAt = TimePoint::min(); ///< last report with a new service time or with requests running
        unsigned inFlight = 0; ///< requests of this node
        unsigned sentSinceReport = 0;
        double kibSinceReport = 0; ///< expected large responses of the requests sent since the report
        FadingShare failures; ///< measured by this node
        TimePoint avoidUntil = TimePoint::min();
        ColdEntry cold;
        double coldRate = 0; ///< requests per second that it takes while cold; 0: not limited
        unsigned sentSinceCold = 0; ///< since the newest statement of its entry
        bool linked = false; ///< a link to its host exists, so a request reaches it without delay
    };

    double responseKib(const std::string &kind) const;
    double linkDelay(const TargetRecord &target, const BalancedRequest &request, const TargetStatistics &state) const;
    double transferTime(const TargetRecord &target, const BalancedRequest &request, const TargetReport &report) const;
    double crossDataCentreSurcharge(const TargetRecord &target, const BalancedRequest &request, double goal) const;
    /// In seconds; with `aged` as if no longer measured, the closer to the default the older it is.
    double serviceTimeOf(TimePoint now, const TargetRecord &target, const TargetStatistics &state, double defaultServiceTime, bool aged) const;
    double costOf(TimePoint now, const TargetRecord &target, const BalancedRequest &request, double defaultServiceTime, bool aged) const;
    double queueDelay(TimePoint now, const TargetRecord &target, const TargetStatistics &state, double service) const;
    double rateDelay(TimePoint now, const TargetStatistics &state) const;
    double coldEntryDelay(TimePoint now, const TargetStatistics &state) const;
    double meanServiceTimeOf(const std::vector<TargetRecord> &candidates) const;
    double meanServiceTimeOf(TimePoint now, const std::vector<TargetRecord> &candidates) const; ///< in seconds; targets without work count less
    bool hasSaidItLeaves(const TargetRecord &target) const;
    std::vector<const TargetRecord *> eligible(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request) const;

    LoadBalancerSettings m_settings;
    std::minstd_rand m_random;
    std::unordered_map<std::string, TargetStatistics> m_targets; ///< by id
    std::unordered_map<std::string, std::int64_t> m_leaving; ///< by id, start of the lifetime that said so in ms since the Unix epoch
    std::unordered_map<std::string, double> m_responseKib; ///< mean in KiB by kind of request
};

} // namespace Fescuenotch
