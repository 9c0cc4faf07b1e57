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

} // namespace

std::vector<std::size_t> answersInTime(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link)
{
    std::vector<std::size_t> kept;
    std::size_t bytes = 0;
    for (const auto n : indicesByDeadline(answers)) {
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

std::optional<std::size_t> nextAnswer(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link)
{
    if (answers.empty()) {
        return std::nullopt;
    }
    const auto inTime = answersInTime(now, answers, link);
    if (inTime.empty()) {
        return shortestOf(answers, indicesByDeadline(answers));
    }
    const bool isTight = leastSlack(now, answers, inTime, link) < MinAnswerSlack;
    return isTight ? inTime.front() : shortestOf(answers, inTime);
}

} // namespace Fescuenotch
