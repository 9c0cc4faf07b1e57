#include "mesh/requestage.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double LongestDecay = 0.9995; ///< a request; a route whose callers become shorter is learnt anew within some thousand
constexpr double SameTime = 0.97; ///< of the longest; times above this are those of first tries
constexpr std::size_t MostKinds = 4'096; ///< routes that are told apart

} // namespace

Duration RequestAges::ageOf(const std::string &kind, Duration told)
{
    if (m_longest.size() > MostKinds) {
        m_longest.clear();
    }
    auto &longest = m_longest[kind];
    longest = std::max(told, std::chrono::duration_cast<Duration>(longest * LongestDecay));
    return told >= longest * SameTime ? Duration(0) : longest - told;
}

} // namespace Fescuenotch
