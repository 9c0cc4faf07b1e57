// Sections: [connect check] [health probe]
#include "forward/targetprobes.h"

#include "mesh/coldstart.h"

#include <utility>

namespace Fescuenotch {

namespace {

constexpr Duration HealthProbeTimeout = milliseconds(500); ///< ms; a cold target under load needs some ten milliseconds for a health answer
constexpr MessageLimits HealthAnswerLimits{16'384, 65'536, 65'536}; ///< bytes; a health answer is small
constexpr unsigned FirstErrorStatus = 400;

} // namespace

// ---- [connect check] --------------------------------------------------------------------------------------------

ConnectCheck::ConnectCheck(EventLoop &loop, const Endpoint &target, Callback onEnded)
    : m_onEnded(std::move(onEnded))
    , m_stream(TcpStream::connect(loop, target, *this))
{
}

void ConnectCheck::onConnected()
{
    end(true);
}

void ConnectCheck::onInput()
{
}

void ConnectCheck::onClosed(CloseCause)
{
    end(false);
}

/// The connection may be closed right after it was opened; only the first event counts.
void ConnectCheck::end(bool reachable)
{
    if (const auto callback = std::exchange(m_onEnded, nullptr)) {
        callback(reachable);
    }
}

// ---- [health probe] ---------------------------------------------------------------------------------------------

HealthProbe::HealthProbe(EventLoop &loop, const Endpoint &target, const std::string &healthPath, const PlatformHeaderNames &names, Callback onEnded)
    : m_names(names)
    , m_onEnded(std::move(onEnded))
    , m_reader(MessageReader::Kind::Response, HealthAnswerLimits)
    , m_stream(TcpStream::connect(loop, target, *this))
{
    const Headers headers{{"Host", toString(target)}, {"Connection", "close"}};
    m_stream->write(formatRequestHead("GET", healthPath, headers, {}));
    m_timer.start(loop.timers(), HealthProbeTimeout, [this](TimePoint) { end({std::nullopt, {}, "no answer in time", false}); });
}

void HealthProbe::onInput()
{
    const auto result = m_reader.readHead(m_stream->input());
    if (result == MessageReader::ReadResult::NeedMore) {
        return;
    }
    end(result == MessageReader::ReadResult::Done ? readAnswer() : HealthAnswer{std::nullopt, {}, "no valid answer", false});
}

HealthAnswer HealthProbe::readAnswer() const
{
    const auto &headers = m_reader.head().headers;
    const auto *id = findHeader(headers, m_names.healthTargetId);
    const auto *remaining = findHeader(headers, m_names.coldRemaining);
    HealthAnswer answer;
    answer.targetId = id == nullptr ? std::string() : *id;
    if (m_reader.head().status >= FirstErrorStatus) {
        answer.detail = "no valid answer";
        return answer;
    }
    // Only a cold target states a remaining time.
    answer.coldRemaining = remaining == nullptr ? std::optional(milliseconds(0)) : parseColdRemaining(*remaining);
    answer.detail = answer.coldRemaining ? "" : "no readable remaining time";
    return answer;
}

void HealthProbe::onClosed(CloseCause cause)
{
    end({std::nullopt, {}, closeCauseName(cause), cause == CloseCause::ConnectFailed});
}

void HealthProbe::end(const HealthAnswer &answer)
{
    if (const auto callback = std::exchange(m_onEnded, nullptr)) {
        callback(answer);
    }
}

} // namespace Fescuenotch
