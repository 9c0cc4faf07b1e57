// Choice at the entry node: which target of a service gets a request.
//
// Patterns answered: targets that differ in speed by a factor of two and more; targets that turn slow or fail a part of
// their requests while their health probe is good; many entry nodes that all hear of the same free slot; data centres
// that are cut off.
//
// Each target is given an expected cost in time: wait for a slot, service, way to it, and a surcharge for the share of
// requests that it fails. What this node has sent since the target's last report counts as work there. Of the cheapest
// targets one is drawn at random, so that entry nodes with the same view don't all choose the same.
//
// How to use: `onReport` when an exit node tells of its target, `onSent` and `onEnded` around each request, `choose`.
// Pitfall: a target that nobody reported on counts as free; a new one thereby gets work at once.
#pragma once

#include "kernel/clock.h"
#include "mesh/admissionqueue.h"
#include "mesh/targets.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

/// How a request that was sent to a target ended, as far as the choice of targets goes.
enum class SendResult {
    Served, ///< the target answered, whatever it said
    Failed, ///< the target broke, answered wrongly or not at all
    Rejected, ///< refused by the exit node or the target, not run
    Unreachable, ///< the exit node could not be reached
    Replaced, ///< another lifetime runs at the target's address
    Cancelled, ///< cancelled by the caller: tells unknown
};

struct LoadBalancerSettings {
    std::string dataCentre; ///< of this node
    std::string host; ///< of this node; answers of its own target need not be carried
    std::uint64_t seed = 0;
    milliseconds maxReportAge{1'500}; ///< ms; an older report counts for little
    milliseconds unreachableBackoff{1'000}; ///< ms; a host that could not be reached is left excluded this long
    milliseconds replacedBackoff{3'000}; ///< ms; a lifetime that has ended is left excluded this long; its entry lapses meanwhile
    milliseconds crossDataCentreRoundTrip{2}; ///< ms; cost of the way to another data centre and back
    double crossDataCentreGoalShare = 0.15; ///< of the time to the goal; a request leaves its data centre only if it gains more than this
    Duration crossDataCentreTimePerKib = milliseconds(4); ///< ms a KiB; traffic between data centres is paid for: a download stays unless that costs its goal
    double costTolerance = 1.1; ///< targets within this factor of the cheapest are drawn from
    std::size_t maxCompared = 24; ///< targets looked at for one request; more are sampled
};

/// What the choice knows about a request.
struct BalancedRequest {
    std::string kind; ///< name of the route
    Duration timeToGoal{0};
    std::vector<std::string> excluded; ///< target ids that were tried
};

class LoadBalancer
{
public:
    explicit LoadBalancer(const LoadBalancerSettings &settings);
    /// Nothing when every candidate is excluded or excluded of reach.
    std::optional<TargetRecord> choose(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request);
    void onSent(TimePoint now, const std::string &targetId);
    void onEnded(TimePoint now, const std::string &targetId, SendResult result);
    void onReport(TimePoint now, const std::string &targetId, const TargetReport &report);
    /// Size of an answer to a kind of request, for the cost of carrying it.
    void onResponseSize(const std::string &kind, std::size_t bytes);
    void onReachable(const std::string &targetId); ///< a link to its host is there anew
    void onLinked(const std::string &targetId); ///< a link to its host is there, maybe for long
    void onUnreachable(TimePoint now, const std::string &targetId); ///< the link to its host is lost
    void retainOnly(const std::vector<TargetRecord> &known);
    /// Shortest time until a target of these is expected to have a free slot.
    milliseconds expectedWait(TimePoint now, const std::vector<TargetRecord> &candidates) const;

private:
    struct TargetStatistics {
        TargetReport report;
        TimePoint reportedAt = TimePoint::min();
        unsigned inFlight = 0; ///< requests of this node
        unsigned sentSinceReport = 0;
        double failureRate = 0; ///< 0 to 1; as this node saw it
        TimePoint avoidUntil = TimePoint::min();
        bool linked = false; ///< its host can be reached without delay
    };

    double responseKib(const BalancedRequest &request) const;
    double transferTime(const TargetRecord &target, const BalancedRequest &request, const TargetReport &report) const;
    double crossDataCentreSurcharge(const TargetRecord &target, const BalancedRequest &request, double goal) const;
    double costOf(TimePoint now, const TargetRecord &target, const BalancedRequest &request, double defaultServiceTime) const;
    double queueDelay(TimePoint now, const TargetRecord &target, const TargetStatistics &state, double service) const;
    double meanServiceTimeOf(const std::vector<TargetRecord> &candidates) const;
    std::vector<const TargetRecord *> eligible(TimePoint now, const std::vector<TargetRecord> &candidates, const BalancedRequest &request) const;

    LoadBalancerSettings m_settings;
    std::minstd_rand m_random;
    std::unordered_map<std::string, TargetStatistics> m_targets; ///< by id
    std::unordered_map<std::string, double> m_responseKib; ///< KiB by kind
};

} // namespace Fescuenotch
