#include "mesh/newsquestions.h"

#include <algorithm>

namespace Fescuenotch {

NewsQuestions::NewsQuestions(const NewsQuestionsSettings &settings)
    : m_settings(settings)
    , m_limit(settings.answerLimit)
{
}

bool NewsQuestions::mayAsk(TimePoint now, const NewsOffer &offer)
{
    m_lackingSince = std::min(m_lackingSince, now);
    const auto period = offer.isUrgent ? m_settings.urgentPeriod : m_settings.leastPeriod;
    const auto pause = m_askedHost.empty() ? period : m_limit;
    const bool askedLately = m_askedAt != TimePoint::min() && now - m_askedAt < pause;
    const bool waitsForNearPeers = !offer.isNear && !offer.isUrgent && now - m_lackingSince < m_settings.otherDataCentreAfter;
    return !askedLately && !waitsForNearPeers;
}

void NewsQuestions::onAsked(TimePoint now, const std::string &host)
{
    const bool lastOneUnanswered = !m_askedHost.empty();
    m_limit = lastOneUnanswered ? std::min(m_limit * 2, m_settings.longestAnswerLimit) : m_settings.answerLimit;
    m_askedHost = host;
    m_askedAt = now;
}

void NewsQuestions::onAnswered()
{
    m_askedHost.clear();
    onNothingLacking();
}

void NewsQuestions::onPeerGone(const std::string &host)
{
    if (host == m_askedHost) {
        m_askedHost.clear();
    }
}

void NewsQuestions::onNothingLacking()
{
    m_lackingSince = TimePoint::max();
}

} // namespace Fescuenotch
