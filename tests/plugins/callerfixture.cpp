#include "callerfixture.h"

#include <boost/test/unit_test.hpp>

namespace Fescuenotch {

namespace {

constexpr std::size_t KeptBody = 65'536; ///< bytes of a request body kept by the handler
constexpr unsigned SlowUploadPieces = 64; ///< pieces that /slowupload takes between two pauses

/// `total` bytes; breaks after `breakAt`.
class CountedBody : public BodySource
{
public:
    CountedBody(std::uint64_t total, std::uint64_t breakAt)
        : m_left(total)
        , m_untilBreak(breakAt)
    {
    }
    std::ptrdiff_t read(std::span<char> buf) override
    {
        const auto n = std::min<std::uint64_t>({buf.size(), m_left, m_untilBreak});
        if (m_left > 0 && n == 0) {
            return -1;
        }
        std::fill_n(buf.begin(), n, 'x');
        m_left -= n;
        m_untilBreak -= n;
        return static_cast<std::ptrdiff_t>(n);
    }

private:
    std::uint64_t m_left;
    std::uint64_t m_untilBreak;
};

std::uint64_t numberIn(const std::string &path, const std::string &name, std::uint64_t otherwise)
{
    const auto at = path.find(name + "=");
    return at == std::string::npos ? otherwise : std::stoull(path.substr(at + name.size() + 1));
}

/// /slowupload: pauses while it reads. /early: wants no more after the first piece. /wait: until released.
/// /body?size=N[&chunked=1][&break=N] and /early?size=N: N bytes. Any other path: its own text.
CallerResponse answerFor(const CallerRequest &request)
{
    CallerResponse response;
    response.status = static_cast<unsigned>(numberIn(request.path, "status", 200));
    response.headers = {{"Fescuenotch-Outcome", "ran"}, {"X-Path", request.path}, {"Keep-Alive", "timeout=9"}};
    response.text = request.method + " " + request.path;
    if (request.path.rfind("/body", 0) == 0 || request.path.rfind("/early?", 0) == 0) {
        const auto size = numberIn(request.path, "size", 0);
        response.body = std::make_unique<CountedBody>(size, numberIn(request.path, "break", size));
        response.bodyLength = numberIn(request.path, "chunked", 0) == 1 ? std::nullopt : std::optional(size);
    }
    return response;
}

} // namespace

class RecordingSession : public CallerSession
{
public:
    RecordingSession(RecordingHandler &handler, std::size_t number, CallerRequest request)
        : m_handler(handler)
        , m_number(number)
        , m_request(std::move(request))
    {
    }

    ~RecordingSession() override
    {
        const std::lock_guard lock(m_handler.m_mutex);
        m_handler.m_seen[m_number].ended = true;
    }

    bool onBody(Bytes piece) override
    {
        if (m_request.path == "/slowupload" && ++m_pieces % SlowUploadPieces == 0) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        const std::lock_guard lock(m_handler.m_mutex);
        auto &seen = m_handler.m_seen[m_number];
        seen.bodyBytes += piece.size();
        seen.body.append(piece.data(), std::min(piece.size(), KeptBody - std::min(KeptBody, seen.body.size())));
        return m_request.path.rfind("/early", 0) != 0;
    }

    CallerResponse respond(const std::function<bool()> &callerLeft) override
    {
        while (m_request.path == "/wait" && !m_handler.m_released && !m_handler.m_sawLeft) {
            m_handler.m_sawLeft = callerLeft();
            std::this_thread::sleep_for(milliseconds(2));
        }
        const std::lock_guard lock(m_handler.m_mutex);
        m_handler.m_seen[m_number].responded = true;
        return answerFor(m_request);
    }

private:
    RecordingHandler &m_handler;
    std::size_t m_number;
    CallerRequest m_request;
    unsigned m_pieces = 0;
};

std::unique_ptr<CallerSession> RecordingHandler::begin(const CallerRequest &request)
{
    const std::lock_guard lock(m_mutex);
    m_seen.push_back({request, "", 0, false, false});
    return std::make_unique<RecordingSession>(*this, m_seen.size() - 1, request);
}

std::size_t RecordingHandler::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_seen.size();
}

SeenRequest RecordingHandler::seen(std::size_t number) const
{
    const std::lock_guard lock(m_mutex);
    return m_seen.at(number);
}

bool RecordingHandler::sawLeft() const
{
    return m_sawLeft;
}

void RecordingHandler::release()
{
    m_released = true;
}

CallerFixture::CallerFixture()
{
    settings.callerListen = {"127.25.1.1", 18080};
    context = {&settings, metrics.get(), timers.get(), 1};
}

CallerFixture::~CallerFixture()
{
    handler.release();
    if (server) {
        server->stop();
    }
    timers->stop();
}

void CallerFixture::start(const CallerLimits &limits)
{
    server = makeHttpCallerServer(context, limits);
    const auto error = errorOf([&] { return server->start(handler); });
    BOOST_REQUIRE_MESSAGE(!error, (error ? describe(*error) : ""));
}

RawSocket CallerFixture::connect(int receiveBuffer) const
{
    return RawSocket::connectTo(settings.callerListen, receiveBuffer);
}

std::string CallerFixture::exchange(std::string_view bytes) const
{
    auto socket = connect();
    socket.send(bytes);
    return socket.receiveAll();
}

std::string CallerFixture::get(const std::string &path) const
{
    auto socket = connect();
    socket.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    return socket.receiveAnswer();
}

std::string CallerFixture::metric(const std::string &line) const
{
    const auto text = metrics->text();
    const auto at = text.find("\n" + line + " ");
    return at == std::string::npos ? "" : text.substr(at + line.size() + 2, text.find('\n', at + 1) - at - line.size() - 2);
}

} // namespace Fescuenotch
