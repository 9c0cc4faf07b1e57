#include "plugins/directanswer.h"

#include "kernel/socketqueue.h"

#include <microhttpd.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

namespace Fescuenotch {

namespace {

constexpr std::size_t PieceBytes = 65'536; ///< bytes read and written at a time
constexpr milliseconds LingerLimit{1'000}; ///< ms; longest time that input is discarded after the answer was delivered
constexpr milliseconds DeliveryPoll{50}; ///< ms; between looks at what is delivered

bool waitFor(int fd, short events, milliseconds limit)
{
    pollfd poll{fd, events, 0};
    return ::poll(&poll, 1, static_cast<int>(limit.count())) == 1;
}

bool writeAll(int fd, Bytes bytes, milliseconds stallLimit)
{
    while (!bytes.empty()) {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        const bool mayRepeat = n > 0 || errno == EAGAIN || errno == EINTR;
        if (!mayRepeat || (n <= 0 && !waitFor(fd, POLLOUT, stallLimit))) {
            return false;
        }
        bytes = bytes.subspan(n > 0 ? static_cast<std::size_t>(n) : 0);
    }
    return true;
}

std::string headText(const CallerResponse &response, bool chunked)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + MHD_get_reason_phrase_for(response.status) + "\r\n";
    for (const auto &h : response.headers) {
        if (!sameHeaderName(h.name, "Content-Length")) {
            text += h.name + ": " + h.value + "\r\n";
        }
    }
    const auto length = response.body ? response.bodyLength.value_or(0) : response.text.size();
    if (response.status != MHD_HTTP_NO_CONTENT && response.status != MHD_HTTP_NOT_MODIFIED) {
        text += chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(length) + "\r\n";
    }
    return text + "Connection: close\r\n\r\n";
}

std::string chunkText(Bytes piece)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    return std::string(size.data()) + std::string(piece.data(), piece.size()) + "\r\n";
}

/// False when the body broke or the caller left; the connection then ends without the last chunk or byte.
bool writeBody(int fd, BodySource &body, bool chunked, milliseconds stallLimit)
{
    std::vector<char> buf(PieceBytes);
    for (;;) {
        const auto n = body.read(buf);
        if (n <= 0) {
            return n == 0 && (!chunked || writeAll(fd, std::string_view("0\r\n\r\n"), stallLimit));
        }
        const Bytes piece(buf.data(), static_cast<std::size_t>(n));
        if (!(chunked ? writeAll(fd, chunkText(piece), stallLimit) : writeAll(fd, piece, stallLimit))) {
            return false;
        }
    }
}

/// False when no more input can come.
bool discardInput(int fd, std::span<char> buf)
{
    if (!waitFor(fd, POLLIN, DeliveryPoll)) {
        return true;
    }
    const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

} // namespace

void endOutput(int fd, milliseconds stallLimit)
{
    ::shutdown(fd, SHUT_WR);
    std::vector<char> buf(PieceBytes);
    auto left = unacknowledgedBytes(fd);
    auto lastProgress = Clock::now();
    while (discardInput(fd, buf)) {
        const auto now = Clock::now();
        const auto before = std::exchange(left, unacknowledgedBytes(fd));
        if (left < before) {
            lastProgress = now;
        }
        if (now - lastProgress > (left == 0 ? LingerLimit : stallLimit)) {
            return;
        }
    }
}

void writeDirectAnswer(int fd, CallerResponse response, bool isHead, milliseconds stallLimit)
{
    const bool chunked = response.body && !response.bodyLength;
    const auto head = headText(response, chunked);
    bool whole = writeAll(fd, head, stallLimit);
    if (whole && !isHead) {
        whole = response.body ? writeBody(fd, *response.body, chunked, stallLimit) : writeAll(fd, response.text, stallLimit);
    }
    if (whole) {
        endOutput(fd, stallLimit);
    }
}

CallerResponse refusalResponse(const RequestRefusal &refusal)
{
    CallerResponse response;
    response.status = refusal.status;
    response.text = nlohmann::json{{"reason", refusal.reason}, {"remedy", refusal.remedy}}.dump() + "\n";
    response.headers = {{"Content-Type", "application/json"}, {"Fescuenotch-Outcome", "not-run"}};
    if (refusal.status == 503) {
        response.headers.push_back({"Retry-After", "1"});
    }
    return response;
}

} // namespace Fescuenotch
