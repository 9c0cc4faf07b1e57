#include "requestfakes.h"

#include <algorithm>
#include <cstring>

namespace Fescuenotch::Testing {

std::ptrdiff_t InMemoryStream::readBody(std::span<char> buf, TimePoint until)
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

bool InMemoryStream::push(AttemptEvent event)
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

bool InMemoryStream::sendHead(const AnswerHead &head)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::Head;
    event.head = head;
    return !cancelled() && push(std::move(event));
}

bool InMemoryStream::sendBody(Bytes piece, TimePoint)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::Body;
    event.body.assign(piece.data(), piece.size());
    return !cancelled() && push(std::move(event));
}

void InMemoryStream::end(const AttemptEnd &end)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::End;
    event.end = end;
    push(std::move(event));
}

AttemptEvent InMemoryStream::wait(TimePoint until)
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_until(lock, until, [&] { return !m_events.empty(); })) {
        return {};
    }
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void InMemoryStream::pushRequestBody(Bytes piece)
{
    const std::lock_guard lock(m_mutex);
    m_body.append(piece.data(), piece.size());
    m_changed.notify_all();
}

void InMemoryStream::finishRequestBody()
{
    const std::lock_guard lock(m_mutex);
    m_bodyDone = true;
    m_changed.notify_all();
}

void InMemoryStream::cancel()
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

void InMemoryStream::loseConnection(bool anythingSent)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::LinkLost;
    event.anythingSent = anythingSent;
    push(std::move(event));
    cancel();
}

std::optional<AttemptEnd> InMemoryStream::attemptEnd() const
{
    const std::lock_guard lock(m_mutex);
    return m_end;
}

bool InMemoryStream::waitForEnd(Duration limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [&] { return m_end.has_value(); });
}

namespace {

class InMemoryOutbound : public OutboundAttempt
{
public:
    explicit InMemoryOutbound(std::shared_ptr<InMemoryStream> stream)
        : m_stream(std::move(stream))
    {
    }
    ~InMemoryOutbound() override
    {
        m_stream->cancel();
    }
    bool sendBody(Bytes piece, TimePoint) override
    {
        m_stream->pushRequestBody(piece);
        return !m_stream->attemptEnd();
    }
    bool finishBody() override
    {
        m_stream->finishRequestBody();
        return !m_stream->attemptEnd();
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
    std::shared_ptr<InMemoryStream> m_stream;
};

} // namespace

std::unique_ptr<OutboundAttempt> InMemoryTransport::open(const Endpoint &to, const AttemptHead &head)
{
    auto stream = std::make_shared<InMemoryStream>(head);
    {
        const std::lock_guard lock(m_mutex);
        m_heads.push_back(head);
    }
    const auto it = exits.find(to.host);
    if (it == exits.end()) {
        stream->loseConnection(false);
    } else {
        it->second(stream);
    }
    return std::make_unique<InMemoryOutbound>(stream);
}

std::vector<AttemptHead> InMemoryTransport::heads() const
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
    auto previousMax = maxRunning.load();
    while (previousMax < now && !maxRunning.compare_exchange_weak(previousMax, now)) { }
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
