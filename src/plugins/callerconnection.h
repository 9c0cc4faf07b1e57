// One caller's connection and its request of the moment, driven by the callbacks of libmicrohttpd.
//
// How to use: the server keeps a CallerConnection for each socket and makes a CallerExchange for each request. All calls
// for one connection come from its own thread, but for `CallerConnection::waitsForHead`, which any thread may ask.
#pragma once

#include "plugins/callerhttp.h"
#include "plugins/requestcheck.h"

#include <microhttpd.h>

#include <atomic>
#include <memory>
#include <string>

namespace Fescuenotch {

/// Counters of the server for callers.
struct CallerCounters {
    explicit CallerCounters(MetricsRegistry &metrics);
    Counter &refusal(const std::string &reason);
    std::map<std::string, Counter *> refusals; ///< by reason
    Counter *requests;
    Counter *brokenAnswers;
    Counter *connectionsLost;
    Counter *bytesIn;
    Counter *bytesOut;
};

/// What all connections of a server share.
struct CallerShared {
    CallerShared(const NodeContext &context, const CallerLimits &callerLimits);
    CallerLimits limits;
    RequestLimits requestLimits;
    unsigned maxConnections; ///< connections at once
    CallerCounters counters;
    CallerHandler *handler = nullptr;
    std::atomic<unsigned> connections{0}; ///< open now
    std::atomic<bool> closing{false}; ///< answers carry Connection: close
};

class CallerConnection
{
public:
    explicit CallerConnection(int fd);
    int fd() const;
    void onHeadRead();
    void onRequestEnded();
    /// Since when this connection has been waiting for the end of a request head; nothing while a request runs.
    std::optional<TimePoint> waitsForHead() const;

private:
    int m_fd;
    std::atomic<TimePoint> m_waitingSince;
    std::atomic<bool> m_waiting{true};
};

class CallerExchange
{
public:
    CallerExchange(CallerShared &shared, std::string uri);
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;
    ~CallerExchange();

    /// One call of MHD_AccessHandlerCallback.
    MHD_Result onAccess(MHD_Connection *connection, const char *url, const char *method, const char *version, Bytes piece);
    /// MHD_RequestCompletedCallback; `whole` tells that the answer was sent to its end.
    void onEnded(bool whole);

private:
    MHD_Result onHead(const char *url, const char *method, const char *version);
    MHD_Result onPiece(Bytes piece);
    MHD_Result onRequestRead();
    MHD_Result refuse(const RequestRefusal &refusal);
    MHD_Result answerAndClose(CallerResponse response);
    MHD_Result queue(CallerResponse response);
    MHD_Response *makeResponse(CallerResponse &response);
    void begin();
    bool callerLeft() const;
    bool gatherSmallBody(CallerResponse &response);
    void restartStallTimer(bool enabled);
    static ssize_t readAnswerBody(void *cls, std::uint64_t position, char *buf, std::size_t capacity);

    CallerShared &m_shared;
    MHD_Connection *m_connection = nullptr;
    CallerConnection *m_socket = nullptr;
    CallerRequest m_request;
    std::string m_uri;
    std::uint64_t m_received = 0; ///< bytes of the request body
    bool m_headSeen = false;
    bool m_answered = false; ///< an answer of ours was queued or written
    bool m_answeredDirectly = false; ///< written past the library
    bool m_callerCloses = false; ///< the request has Connection: close
    bool m_endsConnection = false; ///< the library closes the connection after the answer
    bool m_chunksUnderstood = true; ///< false for HTTP/1.0
    bool m_endsByClose = false; ///< only the end of the connection ends the answer's body
    bool m_answerBroken = false; ///< its body ended too early
    std::unique_ptr<CallerSession> m_session;
    std::unique_ptr<BodySource> m_answerBody; ///< ends before the session
};

} // namespace Fescuenotch
