// Budget of the bytes that a node buffers for callers, peers and its target.
//
// Callers and peers may read slowly or not at all. What the node holds for them counts toward its memory limit, which is 160 MB on most
// hosts, so hundreds of large answers that nobody reads would end the process. The budget is a share of that limit; without a limit it
// is off: nothing is counted as too much, and nothing is refused or dropped.
//
// Bodies of requests that are still being received have a share of the budget of their own, so that callers who never end theirs leave
// room for answers.
//
// Three steps, in this order:
// - Back-pressure: when half of the budget is used, `streamWindow` becomes smaller. Answers that are streamed are then read from their
//   target in smaller parts.
// - Refusal: a request whose answer would not fit is refused before it runs, see `admits`. What is held for receivers that read very
//   slowly does not count against it, since it can be dropped.
// - Drop: when the budget is exceeded, `enforce` drops answers until it is met. Only answers whose receiver takes no more at the
//   moment are dropped: first those that made no progress for `StallTime`, the longest stalled first, then those read at the lowest rate,
//   and those of which too little was seen to judge only when there are no others. What waits for this node (for its link or for
//   its target) is never dropped. So no answer that progresses is dropped before one that does not. The same holds for bodies whose
//   callers have not sent the rest, once all bodies exceed their share.
//
// How to use: create an Account for each connection or stream that buffers bytes and call `update` whenever the amount changes and also
// from time to time, so that progress is measured. Its destruction frees its share. `enforce` calls the `drop` functions of accounts, so
// call it from the event loop, not from inside `update`: `setOnExceeded` tells when it is due.
//
// Pitfalls:
// - `drop` must make the answer visibly incomplete for its receiver, or refuse the request whose body is dropped, and end the account's use
//   of memory.
// - Count what is allocated (capacities), not only what is used: callers choose the pieces in which they send.
// - The process needs more than the bytes counted here, for copies and for the allocator's unused parts. `BudgetShare` leaves room for it.
// - Not counted: frames queued on links, which are bounded for each link.
//
// Time is an argument, there are no sockets. Not thread-safe; owned by one loop.
#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace Fescuenotch {

constexpr double BudgetShare = 0.15; ///< of the node's memory limit; with 0.2 the process reached 79 of 160 MB in MemoryTest
constexpr double BodyShare = 0.5; ///< of the budget; for bodies of requests
constexpr milliseconds StallTime{2'000}; ///< ms; a receiver that took nothing for this long does not progress
constexpr double SlowBytesPerSecond = 16'384; ///< bytes; receivers slower than this are counted as droppable by `admits`

class MemoryBudget
{
public:
    enum class Holder { Caller, Peer, Target, Body };
    static constexpr std::size_t HolderCount = 4;
    static const char *holderName(Holder holder); ///< "caller", "peer", "target", "body"

    /// Bytes buffered for one receiver, or of one body that is being received.
    class Account
    {
    public:
        /// `drop` is called at most once, by `enforce`. Without it the account is never dropped.
        Account(MemoryBudget &budget, Holder holder, TimePoint now, std::function<void()> drop = {});
        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;
        ~Account();

        /// `held`: bytes held now. `consumed`: bytes that the receiver has taken since the account began, or that the caller has sent of
        /// bodies. `isBlocked`: the receiver takes no more at the moment, or the caller has not sent the rest of the body.
        void update(TimePoint now, std::size_t held, std::uint64_t consumed, bool isBlocked);

    private:
        friend class MemoryBudget;
        void release();
        double rate(TimePoint now) const; ///< bytes per second

        MemoryBudget &m_budget;
        Holder m_holder;
        std::function<void()> m_drop;
        std::size_t m_held = 0;
        std::uint64_t m_consumed = 0;
        bool m_blocked = false;
        TimePoint m_heldSince; ///< since when bytes have been held without a break
        bool m_measures = false; ///< the first bytes, which fill the socket's buffers, have been taken
        TimePoint m_progressAt; ///< of the last progress, or when bytes were first held
        TimePoint m_windowBegin; ///< of the measurement of the rate
        std::uint64_t m_windowConsumed = 0; ///< `m_consumed` at that time
        double m_lastRate = -1; ///< bytes per second in the previous window; -1: none yet
    };

    struct Dropped {
        Holder holder = Holder::Caller;
        std::size_t bytes = 0;
        Duration stalled{0}; ///< since the last progress
        double rate = 0; ///< bytes per second
    };

    /// `memoryLimit`: bytes that the process may use; 0: no limit.
    explicit MemoryBudget(std::uint64_t memoryLimit);
    bool isLimited() const
    {
        return m_limit > 0;
    }
    std::size_t limit() const ///< bytes; 0: none
    {
        return m_limit;
    }
    std::size_t bodyLimit() const; ///< bytes of the limit that bodies may use
    std::size_t used() const; ///< bytes
    std::size_t usedBy(Holder holder) const ///< bytes
    {
        return m_used[static_cast<std::size_t>(holder)];
    }
    /// Whether an answer of the expected size may be added, for a request that has not run.
    bool admits(TimePoint now, std::size_t expectedBytes) const;
    /// Bytes of one body that may be unread by its receiver. At least DrainNotifyBytes of loop/tcpstream.h, below which a writer is not
    /// told that its output was sent.
    std::size_t streamWindow(std::size_t normal) const;
    /// `onExceeded` is called when more is held than the budget, once until the next `enforce`.
    void setOnExceeded(std::function<void()> onExceeded);
    std::vector<Dropped> enforce(TimePoint now);

private:
    bool isExceeded() const;
    Account *nextToDrop(TimePoint now, std::optional<Holder> holder) const; ///< of all holders without `holder`; null if there is none
    bool dropNext(TimePoint now, std::optional<Holder> holder, std::vector<Dropped> &dropped); ///< false if there is none
    std::size_t droppableBytes(TimePoint now) const; ///< held for receivers that are stalled or very slow

    std::size_t m_limit;
    std::array<std::size_t, HolderCount> m_used{};
    std::set<Account *> m_accounts;
    std::function<void()> m_onExceeded;
    bool m_exceededTold = false;
};

} // namespace Fescuenotch
