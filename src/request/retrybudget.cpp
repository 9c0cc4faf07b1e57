#include "request/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr unsigned DeepestCost = 16; ///< deeper levels cost no more than this one

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(double share, double minPerSecond)
    : m_share(share)
    , m_minPerSecond(minPerSecond)
{
}

RetryBudget::Slot &RetryBudget::slotOf(TimePoint now)
{
    const auto second = secondOf(now);
    auto &slot = m_slots[static_cast<std::size_t>(second) % WindowSeconds];
    if (slot.second != second) {
        slot = {second, 0, 0};
    }
    return slot;
}

void RetryBudget::onRequest(TimePoint now)
{
    ++slotOf(now).requests;
}

bool RetryBudget::take(TimePoint now, unsigned depth)
{
    auto &current = slotOf(now);
    double allowed = m_minPerSecond * static_cast<double>(WindowSeconds);
    double spent = 0;
    for (const auto &slot : m_slots) {
        if (current.second - slot.second < static_cast<std::int64_t>(WindowSeconds)) {
            allowed += m_share * static_cast<double>(slot.requests);
            spent += slot.spent;
        }
    }
    const double cost = std::exp2(std::min(depth, DeepestCost));
    if (spent + cost > allowed) {
        return false;
    }
    current.spent += cost;
    return true;
}

} // namespace Fescuenotch
