// Moves records between nodes: pushes down the tree, comparisons and pulls, large values in chunks.
//
// How to use: one `on` per message body; true says that the store changed. `onTick` sends the pushes that are due.
// `compare` starts a comparison with a peer whose digest differs; `Listener` hears its outcome.
// Pitfall: each version is passed on once, so that no message runs in circles. News in the store is no measure: a reader
// holds a record before another reader's push of it comes, and its children still wait for it.
#pragma once

#include "spread/largevalues.h"
#include "spread/pushplan.h"
#include "spread/spreadcontext.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds BackupPushStep{300}; ///< ms by which each lower rank's push waits for the ranks above
constexpr milliseconds MarkGraceTree{100}; ///< ms that a push may come after the beacon which tells of it
constexpr milliseconds MarkGraceReader{500}; ///< ms for this reader's own watch before it asks another data centre
constexpr milliseconds ComparePause{200}; ///< ms between two comparisons with the same peer; before the view is trusted, with any
constexpr milliseconds PullPause{1'000}; ///< ms for the answer to a pull before another peer is asked for the same key
constexpr std::size_t MaxPushedNews = 64; ///< records; more at once are left to comparisons

class RecordExchange
{
public:
    explicit RecordExchange(SpreadContext &context);

    /// News of the platform: pushed as root when due. `rank` is this node's rank among the readers.
    void onPlatformNews(TimePoint now, const std::vector<Record> &news, std::size_t rank);
    /// A beacon tells of `mark`; when it is not held after `grace`, its sender is asked.
    void onMark(TimePoint now, const Endpoint &from, Version mark, Duration grace);
    /// Peers to compare with now, because their mark is still not held.
    std::vector<Endpoint> overdueMarks(TimePoint now);
    void compare(TimePoint now, const Endpoint &with, bool trusted);
    /// Sends what is due. True when a push went out.
    bool onTick(TimePoint now);
    /// Changes wait for their push.
    bool collecting() const;
    /// The mark up to which everything held was pushed.
    Version pushedMark() const;

    bool on(TimePoint now, const MemberEntry &sender, const PushBody &body);
    bool on(TimePoint now, const MemberEntry &sender, const RecordsBody &body, bool trusted);
    void on(const MemberEntry &sender, const RecordBucketsBody &body);
    /// True when the comparison is over and this node lacks nothing that the sender holds.
    bool on(TimePoint now, const MemberEntry &sender, const RecordVersionsBody &body);
    void on(const MemberEntry &sender, const PullBody &body);
    void on(const MemberEntry &sender, const ChunkPullBody &body);
    bool on(TimePoint now, const ChunkBody &body);
    /// Children that are told by a digest that this node was repaired; empty when there is nothing to tell.
    std::vector<Endpoint> takeRepairHints();

private:
    struct Comparison {
        TimePoint at{};
        std::size_t buckets = 0; ///< received so far
        bool lacked = false;
    };

    bool isBytes(const std::string &key) const;
    bool treeUsed() const;
    void relay(const std::string &root, const std::vector<Record> &records);
    std::vector<Record> heldOf(const PushBody &body) const;
    std::vector<Endpoint> relayTargets(const std::string &root);
    void pushForeign(const std::vector<Record> &news);
    void give(const Endpoint &to, const std::vector<Record> &records);
    void want(TimePoint now, const Endpoint &from, const std::string &root, const std::vector<Announcement> &announcements);
    void pull(const LargeValues::Pull &pull);
    std::vector<std::string> notAskedFor(TimePoint now, const std::vector<std::string> &keys);

    SpreadContext &m_context;
    PushPlan m_plan;
    LargeValues m_large;
    std::map<std::string, Comparison> m_comparisons; ///< by host compared with
    TimePoint m_lastComparison{};
    std::map<std::string, TimePoint> m_pulled; ///< keys asked for, by key
    Version m_pushedMark;
    struct Overdue {
        Version mark;
        TimePoint due;
    };
    std::map<Endpoint, Overdue> m_marks;
    std::map<std::string, Version> m_relayed; ///< highest version sent on, by key
    std::vector<Endpoint> m_hints;
};

} // namespace Fescuenotch
