#include "mesh/requestage.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double LongestDecay = 0.9998; ///< a request; a route whose callers become shorter is learnt anew within some thousand
constexpr double FirstTry = 0.97; ///< of the longest; a caller with this much left has not come back
constexpr std::size_t MostRoutes = 4'096; ///< routes that are told apart

} // namespace

Duration RequestAges::ageOf(const std::string &route, Duration told)
{
    if (m_longest.size() > MostRoutes) {
        m_longest.clear();
    }
    auto &longest = m_longest[route];
    longest = std::max(told, std::chrono::duration_cast<Duration>(longest * LongestDecay));
    const bool isFirst = told >= std::chrono::duration_cast<Duration>(longest * FirstTry);
    return isFirst ? Duration(0) : longest - told;
}

} // namespace Fescuenotch
