#include "mesh/answerdelivery.h"

#include <algorithm>

namespace Fescuenotch {

void AnswerDelivery::onHandedOver(TimePoint now, std::uint64_t bytes)
{
    if (isDelivered()) {
        m_lastProgressAt = now;
    }
    m_handedOver += bytes;
}

void AnswerDelivery::onAnswerEnd(const std::string &requestId)
{
    m_undelivered.push_back({requestId, m_answerBegin, m_handedOver});
    m_answerBegin = m_handedOver;
}

void AnswerDelivery::update(TimePoint now, const OutputBacklog &backlog)
{
    m_backlog = backlog;
    const auto acknowledged = m_handedOver - std::min(m_handedOver, backlog.pending + backlog.unacknowledged);
    if (acknowledged > m_acknowledged) {
        m_acknowledged = acknowledged;
        m_lastProgressAt = now;
    }
    while (!m_undelivered.empty() && m_undelivered.front().end <= m_acknowledged) {
        m_undelivered.pop_front();
    }
}

} // namespace Fescuenotch
