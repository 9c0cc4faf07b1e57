#include "tests/support/crowd.h"

#include "http1/messagereader.h"
#include "platform/names.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

namespace Fescuenotch::Tests {

namespace {

constexpr std::size_t EndlessBytes = 1'000'000'000'000; ///< announced
constexpr std::size_t EndlessChunkBytes = 1 << 20; ///< sent at once
constexpr milliseconds SendWait{50}; ///< ms; between looks whether to stop
constexpr milliseconds RoundPause{2}; ///< ms; after a round in which no caller could send

std::string framedBody(const CrowdShape &shape)
{
    if (shape.chunkBytes == 0) {
        return std::string(shape.bodyBytes, '.');
    }
    std::string body;
    for (std::size_t left = shape.bodyBytes; left > 0;) {
        const auto n = std::min(left, shape.chunkBytes);
        body += formatChunk(std::string(n, '.'));
        left -= n;
    }
    return body.append(LastChunk);
}

std::string headOf(const CrowdShape &shape, std::size_t number)
{
    const auto framing = shape.chunkBytes > 0 ? std::string("Transfer-Encoding: chunked") : "Content-Length: " + std::to_string(shape.bodyBytes);
    std::string text;
    for (std::size_t n = 1; n <= shape.requests; ++n) {
        text += "POST " + shape.path + " HTTP/1.1\r\nHost: desk\r\n" + Platform::RequestIdHeader + ": crowd-" + std::to_string(number) + "-" + std::to_string(n)
            + "\r\n";
        text += shape.headBytes > 0 ? "Filler: " + std::string(shape.headBytes, '.') + "\r\n" : std::string();
        text += (n < shape.requests ? "Content-Length: 0" : framing) + "\r\n\r\n";
    }
    return text;
}

} // namespace

Crowd::Crowd(const Endpoint &node, const CrowdShape &shape)
    : m_shape(shape)
    , m_body(framedBody(shape))
{
    for (std::size_t n = 0; n < shape.callers; ++n) {
        const bool complete = shape.completeEvery > 0 && n % shape.completeEvery == 0;
        auto head = headOf(shape, n);
        const auto end = head.size() + m_body.size() - (complete ? 0 : 1);
        m_callers.push_back({RawSocket::connectTo(node), std::move(head), 0, end});
    }
}

void Crowd::send(milliseconds stallLimit, const std::function<void()> &onRound)
{
    auto progressAt = Clock::now();
    const auto isDone = [](const Caller &caller) { return caller.position >= caller.end; };
    while (!std::all_of(m_callers.begin(), m_callers.end(), isDone) && Clock::now() - progressAt < stallLimit) {
        bool progress = false;
        for (auto &caller : m_callers) {
            progress = sendPiece(caller) || progress;
        }
        if (progress) {
            progressAt = Clock::now();
        } else {
            std::this_thread::sleep_for(RoundPause);
        }
        onRound();
    }
}

bool Crowd::waitForEnds(milliseconds limit) const
{
    const auto until = Clock::now() + limit;
    return std::all_of(m_callers.begin(), m_callers.end(), [&](const Caller &caller) {
        pollfd poll{caller.socket.fd(), POLLIN, 0};
        const auto left = std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - Clock::now()));
        return ::poll(&poll, 1, static_cast<int>(left.count())) == 1;
    });
}

bool Crowd::sendPiece(Caller &caller) const
{
    const auto before = caller.position;
    const auto last = std::min(caller.end, before + m_shape.pieceBytes);
    while (caller.position < last) {
        const auto piece = pieceOf(caller).substr(0, last - caller.position);
        const auto n = ::send(caller.socket.fd(), piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            caller.position = errno == EAGAIN ? caller.position : caller.end; // cut off by the node
            break;
        }
        caller.position += static_cast<std::size_t>(n);
    }
    return caller.position != before;
}

std::string_view Crowd::pieceOf(const Caller &caller) const
{
    const auto headBytes = caller.head.size();
    const auto &part = caller.position < headBytes ? caller.head : m_body;
    const auto begin = caller.position < headBytes ? caller.position : caller.position - headBytes;
    return std::string_view(part).substr(begin);
}

EndlessSenders::EndlessSenders(const Endpoint &node, unsigned callers, bool announces)
{
    for (unsigned n = 0; n < callers; ++n) {
        m_threads.emplace_back([this, node, announces] { work(node, announces); });
    }
}

EndlessSenders::~EndlessSenders()
{
    m_stopped = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void EndlessSenders::work(const Endpoint &node, bool announces)
{
    const CrowdShape shape{.bodyBytes = EndlessBytes, .chunkBytes = announces ? 0 : EndlessChunkBytes};
    const std::string bytes(EndlessChunkBytes, '.');
    const auto piece = announces ? bytes : formatChunk(bytes);
    while (!m_stopped) {
        try {
            auto socket = RawSocket::connectTo(node);
            const timeval sendTimeout{0, std::chrono::microseconds(SendWait).count()};
            ::setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof sendTimeout);
            socket.send(headOf(shape, 0));
            for (std::size_t at = 0; !m_stopped;) {
                const auto n = ::send(socket.fd(), piece.data() + at, piece.size() - at, MSG_NOSIGNAL);
                if (n < 0 && errno != EAGAIN) {
                    break; // cut off by the node
                }
                const auto sent = static_cast<std::size_t>(std::max<ssize_t>(n, 0));
                m_sentBytes += sent;
                at = (at + sent) % piece.size();
            }
        } catch (const std::runtime_error &) {
            std::this_thread::sleep_for(SendWait); // not accepted
        }
    }
}

} // namespace Fescuenotch::Tests
