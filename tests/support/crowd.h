// Callers that misbehave in great number: request bodies at once, most of which stop one byte short of their end on connections that
// stay open.
//
// How to use: fill a CrowdShape, construct a Crowd, call `send`. The connections are open until the object is destroyed.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "tests/support/rawsocket.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Fescuenotch::Tests {

struct CrowdShape {
    std::string path = "/file/5"; ///< of a route that takes bodies
    std::size_t callers = 300;
    std::size_t requests = 1; ///< of each caller, sent without waiting for answers; those before the last have no body
    std::size_t headBytes = 0; ///< about the size of each head; 0: no more than needed
    std::size_t bodyBytes = 250'000; ///< of each body, without chunk framing
    std::size_t chunkBytes = 0; ///< of each chunk; 0: the body has a Content-Length
    std::size_t pieceBytes = 1'000'000; ///< bytes that a caller sends before the next one's turn
    unsigned completeEvery = 10; ///< every such caller sends its whole body; 0: none does
};

class Crowd
{
public:
    Crowd(const Endpoint &node, const CrowdShape &shape);
    /// Sends until every caller is done or was cut off, or none can send for `stallLimit`. `onRound` is called after each round.
    void send(milliseconds stallLimit, const std::function<void()> &onRound);
    /// Waits until every caller has an answer or was cut off. False when `limit` passed.
    bool waitForEnds(milliseconds limit) const;

private:
    struct Caller {
        RawSocket socket;
        std::string head;
        std::size_t position = 0; ///< bytes of head and body that were sent
        std::size_t end = 0; ///< bytes of head and body to be sent
    };

    bool sendPiece(Caller &caller) const; ///< whether anything was sent
    std::string_view pieceOf(const Caller &caller) const;

    CrowdShape m_shape;
    std::string m_body; ///< as sent by all callers, with chunk framing
    std::vector<Caller> m_callers;
};

/// Callers that send body bytes as fast as they are taken, without end, and connect again when they are cut off.
class EndlessSenders
{
public:
    /// `announces`: with a Content-Length far beyond the limit; otherwise in chunks.
    EndlessSenders(const Endpoint &node, unsigned callers, bool announces);
    ~EndlessSenders();
    std::uint64_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    void work(const Endpoint &node, bool announces);

    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_sentBytes{0};
    std::vector<std::thread> m_threads;
};

} // namespace Fescuenotch::Tests
