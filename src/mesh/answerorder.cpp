#include "mesh/answerorder.h"

#include <algorithm>
#include <numeric>

namespace Fescuenotch {

namespace {

std::vector<std::size_t> indicesByDeadline(const std::vector<PendingAnswer> &answers)
{
    std::vector<std::size_t> order(answers.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return answers[a].deadline < answers[b].deadline; });
    return order;
}

std::size_t shortestOf(const std::vector<PendingAnswer> &answers, const std::vector<std::size_t> &indices)
{
    return *std::min_element(indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) { return answers[a].remaining < answers[b].remaining; });
}

/// Least time to spare of the answers if they are sent in this order.
Duration leastSlack(TimePoint now, const std::vector<PendingAnswer> &answers, const std::vector<std::size_t> &order, const UplinkPacer &link)
{
    Duration least = Duration::max();
    std::size_t bytes = 0;
    for (const auto n : order) {
        bytes += answers[n].remaining;
        least = std::min(least, answers[n].deadline - now - link.timeFor(bytes));
    }
    return least;
}

/// Of `order`, the largest set that the link can send by its deadlines.
std::vector<std::size_t> selectInTime(TimePoint now, const std::vector<PendingAnswer> &answers, const std::vector<std::size_t> &order, const UplinkPacer &link)
{
    std::vector<std::size_t> kept;
    std::size_t bytes = 0;
    for (const auto n : order) {
        kept.push_back(n);
        bytes += answers[n].remaining;
        if (now + link.timeFor(bytes) <= answers[n].deadline) {
            continue;
        }
        const auto longest
            = std::max_element(kept.begin(), kept.end(), [&](std::size_t a, std::size_t b) { return answers[a].remaining < answers[b].remaining; });
        bytes -= answers[*longest].remaining;
        kept.erase(longest);
    }
    return kept;
}

/// Of `order`, answers by deadline that can each be sent in time, those that may go first without making another one late. All of them
/// if the link cannot send all in time, or if more than `MaxGuardedBacklog` is queued.
std::vector<std::size_t> allowedNext(TimePoint now, const std::vector<PendingAnswer> &answers, const std::vector<std::size_t> &order, const UplinkPacer &link)
{
    std::size_t bytes = 0;
    auto allowed = order.size();
    for (std::size_t n = 0; n < order.size(); ++n) {
        const auto &answer = answers[order[n]];
        bytes += answer.remaining;
        const auto slack = answer.deadline - now - link.timeFor(bytes);
        if (slack < Duration(0)) {
            return order;
        }
        if (slack < MinGuardedSlack) {
            allowed = std::min(allowed, n + 1);
        }
    }
    if (link.timeFor(bytes) > MaxGuardedBacklog) {
        return order;
    }
    return {order.begin(), order.begin() + static_cast<std::ptrdiff_t>(allowed)};
}

} // namespace

std::vector<std::size_t> answersInTime(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link)
{
    return selectInTime(now, answers, indicesByDeadline(answers), link);
}

std::optional<std::size_t> nextAnswer(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link)
{
    if (answers.empty()) {
        return std::nullopt;
    }
    auto toStopping = indicesByDeadline(answers);
    std::erase_if(toStopping, [&](std::size_t n) { return !answers[n].deadlineIsNodeEnd; });
    const auto urgent = selectInTime(now, answers, toStopping, link);
    if (!urgent.empty() && leastSlack(now, answers, urgent, link) < MinAnswerSlack) {
        return urgent.front();
    }
    auto candidates = indicesByDeadline(answers);
    std::erase_if(candidates, [&](std::size_t n) { return now + link.timeFor(answers[n].remaining) > answers[n].deadline; });
    return shortestOf(answers, candidates.empty() ? indicesByDeadline(answers) : allowedNext(now, answers, candidates, link));
}

} // namespace Fescuenotch
