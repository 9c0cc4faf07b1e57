#include "mesh/requestrate.h"

#include "kernel/durations.h"

#include <algorithm>
#include <charconv>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxRateCharacters = 32; ///< characters; a longer text is not a rate
constexpr double MaxRate = 1e9; ///< requests per second
constexpr double BurstSeconds = 0.1; ///< s; requests of this time may be sent together

} // namespace

std::optional<double> parseRequestRate(std::string_view text)
{
    const auto isRateCharacter = [](char c) { return (c >= '0' && c <= '9') || c == '.'; };
    if (text.empty() || text.size() > MaxRateCharacters || !std::all_of(text.begin(), text.end(), isRateCharacter)) {
        return std::nullopt;
    }
    double rate = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed);
    const bool valid = ec == std::errc() && end == text.data() + text.size() && rate <= MaxRate;
    return valid ? std::optional(rate) : std::nullopt;
}

std::string requestRateText(std::optional<double> perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

void StatedRate::onAnswer(TimePoint now, TimePoint requestSentAt, std::optional<double> stated)
{
    m_hasAnswered = true;
    if (stated) {
        m_perSecond = stated;
        m_statedAt = now;
        m_answersWithout = 0;
        return;
    }
    if (!m_perSecond || requestSentAt < m_statedAt) {
        return;
    }
    if (++m_answersWithout >= AnswersToEnd) {
        m_perSecond.reset();
    }
}

void StatedRate::onTold(TimePoint now, double perSecond)
{
    if (!m_hasAnswered && !m_perSecond) {
        m_perSecond = perSecond;
        m_statedAt = now;
    }
}

void StatedRate::reset()
{
    *this = StatedRate();
}

void RateLimiter::setRate(TimePoint now, std::optional<double> perSecond)
{
    const double rate = perSecond ? std::max(*perSecond, ProbeRate) : 0;
    if (rate == m_perSecond) {
        return;
    }
    const bool wasLimited = isLimited();
    const double tokens = wasLimited ? tokensAt(now) : 0;
    m_perSecond = rate;
    m_tokens = std::min(tokens, capacity());
    m_countedAt = now;
}

double RateLimiter::capacity() const
{
    return std::max(1.0, m_perSecond * BurstSeconds);
}

double RateLimiter::tokensAt(TimePoint now) const
{
    return std::min(capacity(), m_tokens + secondsOf(now - m_countedAt) * m_perSecond);
}

bool RateLimiter::maySend(TimePoint now) const
{
    return !isLimited() || tokensAt(now) >= 1;
}

void RateLimiter::onSent(TimePoint now)
{
    if (!isLimited()) {
        return;
    }
    m_tokens = tokensAt(now) - 1;
    m_countedAt = now;
}

void RateLimiter::restart(TimePoint now)
{
    m_tokens = 0;
    m_countedAt = now;
}

TimePoint RateLimiter::nextAt() const
{
    return isLimited() ? m_countedAt + durationOf(std::max(0.0, 1 - m_tokens) / m_perSecond) : TimePoint::min();
}

Duration RateLimiter::waitFor(TimePoint now, std::size_t ahead) const
{
    if (!isLimited()) {
        return Duration(0);
    }
    return durationOf(std::max(0.0, static_cast<double>(ahead) + 1 - tokensAt(now)) / m_perSecond);
}

} // namespace Fescuenotch
