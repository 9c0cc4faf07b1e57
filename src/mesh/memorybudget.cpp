#include "mesh/memorybudget.h"

#include "kernel/durations.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Fescuenotch {

namespace {

constexpr double PressureShare = 0.5; ///< of the budget; above this, windows are smaller
constexpr double AfterDropShare = 0.9; ///< of the budget; drops go on until no more than this is used
constexpr std::size_t MinStreamWindow = 64 * 1024; ///< bytes
constexpr milliseconds RateWindow{2'000}; ///< ms; a rate is measured over one to two of these
constexpr milliseconds MinJudgedTime{500}; ///< ms; a receiver's rate counts after this

std::size_t shareOf(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

} // namespace

const char *MemoryBudget::holderName(Holder holder)
{
    switch (holder) {
    case Holder::Caller:
        return "caller";
    case Holder::Peer:
        return "peer";
    case Holder::Target:
        return "target";
    case Holder::Body:
        return "body";
    }
    return "unknown";
}

// ---- [account] --------------------------------------------------------------------------------------------------

MemoryBudget::Account::Account(MemoryBudget &budget, Holder holder, TimePoint now, std::function<void()> drop)
    : m_budget(budget)
    , m_holder(holder)
    , m_drop(std::move(drop))
    , m_heldSince(now)
    , m_progressAt(now)
    , m_windowBegin(now)
{
    m_budget.m_accounts.insert(this);
}

MemoryBudget::Account::~Account()
{
    release();
    m_budget.m_accounts.erase(this);
}

void MemoryBudget::Account::release()
{
    m_budget.m_used[static_cast<std::size_t>(m_holder)] -= m_held;
    m_held = 0;
}

double MemoryBudget::Account::rate(TimePoint now) const
{
    const auto elapsed = now - m_windowBegin;
    if (m_lastRate >= 0 && elapsed < RateWindow / 2) {
        return m_lastRate;
    }
    return elapsed > Duration(0) ? static_cast<double>(m_consumed - m_windowConsumed) / secondsOf(elapsed) : 0;
}

void MemoryBudget::Account::update(TimePoint now, std::size_t held, std::uint64_t consumed, bool isBlocked)
{
    if (m_held == 0 && held > 0) {
        m_heldSince = now;
        m_progressAt = now;
        m_windowBegin = now;
        m_windowConsumed = consumed;
        m_lastRate = -1;
        m_measures = false;
    } else if (!m_measures && now > m_heldSince) {
        // What was taken so far is in the socket's buffers; it says nothing about the receiver.
        m_measures = true;
        m_progressAt = now;
        m_windowBegin = now;
        m_windowConsumed = consumed;
    } else if (consumed > m_consumed) {
        m_progressAt = now;
    }
    m_consumed = consumed;
    m_blocked = isBlocked;
    if (now - m_windowBegin >= RateWindow) {
        m_lastRate = static_cast<double>(m_consumed - m_windowConsumed) / secondsOf(now - m_windowBegin);
        m_windowBegin = now;
        m_windowConsumed = m_consumed;
    }
    auto &used = m_budget.m_used[static_cast<std::size_t>(m_holder)];
    used += held - m_held; // wraps around and back when `held` is the smaller one
    m_held = held;
    if (m_budget.isExceeded() && m_budget.m_onExceeded && !std::exchange(m_budget.m_exceededTold, true)) {
        m_budget.m_onExceeded();
    }
}

// ---- [budget] ---------------------------------------------------------------------------------------------------

MemoryBudget::MemoryBudget(std::uint64_t memoryLimit)
    : m_limit(shareOf(memoryLimit, BudgetShare))
{
}

std::size_t MemoryBudget::used() const
{
    std::size_t bytes = 0;
    for (const auto each : m_used) {
        bytes += each;
    }
    return bytes;
}

std::size_t MemoryBudget::bodyLimit() const
{
    return shareOf(m_limit, BodyShare);
}

bool MemoryBudget::isExceeded() const
{
    return isLimited() && (used() > m_limit || usedBy(Holder::Body) > bodyLimit());
}

std::size_t MemoryBudget::droppableBytes(TimePoint now) const
{
    std::size_t bytes = 0;
    for (const auto *account : m_accounts) {
        const bool isJudged = now - account->m_heldSince >= MinJudgedTime;
        const bool isSlow = isJudged && (now - account->m_progressAt >= StallTime || account->rate(now) < SlowBytesPerSecond);
        bytes += account->m_drop && account->m_blocked && isSlow ? account->m_held : 0;
    }
    return bytes;
}

bool MemoryBudget::admits(TimePoint now, std::size_t expectedBytes) const
{
    if (!isLimited() || used() + expectedBytes <= shareOf(m_limit, AfterDropShare)) {
        return true;
    }
    return used() - droppableBytes(now) + expectedBytes <= shareOf(m_limit, AfterDropShare);
}

std::size_t MemoryBudget::streamWindow(std::size_t normal) const
{
    const bool isUnderPressure = isLimited() && used() > shareOf(m_limit, PressureShare);
    return isUnderPressure ? std::min(normal, MinStreamWindow) : normal;
}

void MemoryBudget::setOnExceeded(std::function<void()> onExceeded)
{
    m_onExceeded = std::move(onExceeded);
}

MemoryBudget::Account *MemoryBudget::nextToDrop(TimePoint now, std::optional<Holder> holder) const
{
    /// Stalled ones, then slow ones, then those too young to judge.
    enum class Rank { Stalled, Slow, Young };
    // The lowest is dropped first: stalled ones by the time of their last progress, others by their rate, young ones by age.
    const auto keyOf = [&](const Account &account) {
        const bool isStalled = now - account.m_progressAt >= StallTime;
        const bool isYoung = now - account.m_heldSince < MinJudgedTime;
        const auto rank = isStalled ? Rank::Stalled : isYoung ? Rank::Young : Rank::Slow;
        return std::tuple(rank, rank == Rank::Slow ? account.rate(now) : 0.0, rank == Rank::Stalled ? account.m_progressAt : account.m_heldSince);
    };
    Account *next = nullptr;
    for (auto *account : m_accounts) {
        const bool mayDrop = account->m_drop && account->m_blocked && account->m_held > 0;
        if (mayDrop && (!holder || account->m_holder == *holder) && (next == nullptr || keyOf(*account) < keyOf(*next))) {
            next = account;
        }
    }
    return next;
}

bool MemoryBudget::dropNext(TimePoint now, std::optional<Holder> holder, std::vector<Dropped> &dropped)
{
    auto *account = nextToDrop(now, holder);
    if (account == nullptr) {
        return false;
    }
    dropped.push_back({account->m_holder, account->m_held, now - account->m_progressAt, account->rate(now)});
    account->release();
    const auto drop = std::exchange(account->m_drop, {});
    drop(); // may destroy the account
    return true;
}

std::vector<MemoryBudget::Dropped> MemoryBudget::enforce(TimePoint now)
{
    m_exceededTold = false;
    std::vector<Dropped> dropped;
    if (!isLimited()) {
        return dropped;
    }
    if (usedBy(Holder::Body) > bodyLimit()) {
        while (usedBy(Holder::Body) > shareOf(bodyLimit(), AfterDropShare) && dropNext(now, Holder::Body, dropped)) { }
    }
    if (used() > m_limit) {
        while (used() > shareOf(m_limit, AfterDropShare) && dropNext(now, std::nullopt, dropped)) { }
    }
    return dropped;
}

} // namespace Fescuenotch
