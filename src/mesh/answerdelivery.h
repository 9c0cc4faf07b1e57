// How far the answers on one caller's connection have come: handed over to the stream, passed to the kernel, acknowledged by the caller's
// host. Only the last counts as delivered: bytes in this process are lost when it closes the connection, and bytes in the kernel when
// the close becomes a reset.
//
// Usage: `onHandedOver` for the bytes of an answer, `onAnswerEnd` after its last, `update` with what the socket says. Needs no network.
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <deque>
#include <string>

namespace Fescuenotch {

struct OutputBacklog {
    std::uint64_t pending = 0; ///< bytes in this process
    std::uint64_t unacknowledged = 0; ///< bytes in the kernel that the caller's host has not acknowledged
};

struct UndeliveredAnswer {
    std::string requestId;
    std::uint64_t begin = 0; ///< bytes of the connection's output before its first
    std::uint64_t end = 0; ///< bytes of the connection's output up to its last
};

class AnswerDelivery
{
public:
    void onHandedOver(TimePoint now, std::uint64_t bytes);
    void onAnswerEnd(const std::string &requestId);
    void update(TimePoint now, const OutputBacklog &backlog);
    bool isDelivered() const ///< all that was handed over
    {
        return m_acknowledged == m_handedOver;
    }
    /// Complete answers that are not delivered, in the order of the connection.
    const std::deque<UndeliveredAnswer> &undelivered() const
    {
        return m_undelivered;
    }
    std::uint64_t handedOver() const ///< bytes
    {
        return m_handedOver;
    }
    std::uint64_t acknowledged() const ///< bytes
    {
        return m_acknowledged;
    }
    const OutputBacklog &backlog() const ///< of the last update
    {
        return m_backlog;
    }
    TimePoint lastProgressAt() const ///< bytes were acknowledged, or handed over when all had been delivered
    {
        return m_lastProgressAt;
    }

private:
    std::uint64_t m_handedOver = 0; ///< bytes
    std::uint64_t m_acknowledged = 0; ///< bytes
    std::uint64_t m_answerBegin = 0; ///< bytes; of the answer that is being handed over
    OutputBacklog m_backlog;
    TimePoint m_lastProgressAt;
    std::deque<UndeliveredAnswer> m_undelivered;
};

} // namespace Fescuenotch
