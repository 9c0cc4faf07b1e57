#include "requestfakes.h"

#include <algorithm>
#include <cstring>

namespace Fescuenotch::Testing {

std::ptrdiff_t LoopStream::readBody(std::span<char> buf, TimePoint until)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, until, [&] { return m_cancelled || m_bodyDone || !m_body.empty(); });
    if (m_cancelled || (m_body.empty() && !m_bodyDone)) {
        return -1;
    }
    const auto size = std::min(buf.size(), m_body.size());
    std::memcpy(buf.data(), m_body.data(), size);
    m_body.erase(0, size);
    return static_cast<std::ptrdiff_t>(size);
}

bool LoopStream::push(AttemptEvent event)
{
    const std::lock_guard lock(m_mutex);
    if (m_end) {
        return false;
    }
    if (event.kind == AttemptEvent::Kind::End) {
        m_end = event.end;
    }
    m_events.push_back(std::move(event));
    m_changed.notify_all();
    return true;
}

bool LoopStream::sendHead(const AnswerHead &head)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::Head;
    event.head = head;
    return !cancelled() && push(std::move(event));
}

bool LoopStream::sendBody(Bytes piece, TimePoint)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::Body;
    event.body.assign(piece.data(), piece.size());
    return !cancelled() && push(std::move(event));
}

void LoopStream::end(const AttemptEnd &end)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::End;
    event.end = end;
    push(std::move(event));
}

AttemptEvent LoopStream::wait(TimePoint until)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_until(lock, until, [&] { return !m_events.empty(); })) {
        return {};
    }
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void LoopStream::pushRequestBody(Bytes piece)
{
    const std::lock_guard lock(m_mutex);
    m_body.append(piece.data(), piece.size());
    m_changed.notify_all();
}

void LoopStream::finishRequestBody()
{
    const std::lock_guard lock(m_mutex);
    m_bodyDone = true;
    m_changed.notify_all();
}

void LoopStream::cancel()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled = true;
        callback.swap(m_onCancel);
        m_changed.notify_all();
    }
    if (callback) {
        callback();
    }
}

void LoopStream::lose(bool anythingSent)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::LinkLost;
    event.anythingSent = anythingSent;
    push(std::move(event));
    cancel();
}

std::optional<AttemptEnd> LoopStream::ended() const
{
    const std::lock_guard lock(m_mutex);
    return m_end;
}

bool LoopStream::waitForEnd(Duration limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [&] { return m_end.has_value(); });
}

namespace {

class LoopOutbound : public OutboundAttempt
{
public:
    explicit LoopOutbound(std::shared_ptr<LoopStream> stream)
        : m_stream(std::move(stream))
    {
    }
    ~LoopOutbound() override
    {
        m_stream->cancel();
    }
    bool sendBody(Bytes piece, TimePoint) override
    {
        m_stream->pushRequestBody(piece);
        return !m_stream->ended();
    }
    bool finishBody() override
    {
        m_stream->finishRequestBody();
        return !m_stream->ended();
    }
    AttemptEvent wait(TimePoint until) override
    {
        return m_stream->wait(until);
    }
    void cancel() override
    {
        m_stream->cancel();
    }

private:
    std::shared_ptr<LoopStream> m_stream;
};

} // namespace

std::unique_ptr<OutboundAttempt> LoopTransport::open(const Endpoint &to, const AttemptHead &head)
{
    auto stream = std::make_shared<LoopStream>(head);
    {
        const std::lock_guard lock(m_mutex);
        m_heads.push_back(head);
    }
    const auto it = exits.find(to.host);
    if (it == exits.end()) {
        stream->lose(false);
    } else {
        it->second(stream);
    }
    return std::make_unique<LoopOutbound>(stream);
}

std::vector<AttemptHead> LoopTransport::heads() const
{
    const std::lock_guard lock(m_mutex);
    return m_heads;
}

TargetResult ScriptedTarget::exchange(const TargetRequest &request, TargetSink &sink)
{
    if (!sink.mayStart()) {
        return {};
    }
    ++started;
    const auto now = ++running;
    auto most = mostRunning.load();
    while (most < now && !mostRunning.compare_exchange_weak(most, now)) { }
    auto result = script ? script(request, sink) : answerWith(sink, 200, {}, request.path);
    --running;
    return result;
}

TargetResult answerWith(TargetSink &sink, unsigned status, Headers headers, const std::string &body)
{
    headers.push_back({"Content-Length", std::to_string(body.size())});
    TargetResult result;
    result.sent = true;
    result.complete = sink.onHead(status, headers) && sink.onBody(body);
    return result;
}

} // namespace Fescuenotch::Testing
