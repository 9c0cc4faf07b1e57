// Calls the platform's store as the StoreFollower says: one connection, one call at a time. Answers are decoded on the
// worker's thread.
//
// How to use: `start`; `StoreEvents` gets what changed. The store is only read.
#pragma once

#include "adapter/adapter.h"
#include "http1/messagereader.h"
#include "kernel/metrics.h"
#include "loop/tcpstream.h"
#include "loop/worker.h"
#include "mesh/storefollower.h"

namespace Fescuenotch {

class StoreEvents
{
public:
    virtual ~StoreEvents() = default;
    virtual void onStoreUpdate(StoreUpdate update) = 0;
};

class StoreClient final : public StreamEvents
{
public:
    StoreClient(EventLoop &loop,
                Worker &worker,
                const Endpoint &store,
                const PlatformAdapter &adapter,
                const StoreFollowerSettings &settings,
                StoreEvents &events,
                MetricsRegistry &metrics);
    ~StoreClient() override;
    void start();
    void stop();
    /// False: no more calls are made, since peers tell what changes.
    void setWatching(bool watching);
    bool isWatching() const
    {
        return m_watching;
    }
    const StoreFollower &follower() const
    {
        return m_follower;
    }

private:
    void startNextCall();
    void send();
    void onConnected() override;
    void onInput() override;
    void onClosed(CloseCause cause) override;
    void onAnswer();
    void decode(std::string body);
    void onDecoded(const StoreQuestion &question, std::variant<StoreReply, Error> decoded);
    void onCallFailed(StoreFailure failure, milliseconds retryAfter, const std::string &detail);
    milliseconds answerTimeout() const;

    EventLoop &m_loop;
    Worker &m_worker;
    Endpoint m_store;
    const PlatformAdapter &m_adapter;
    StoreEvents &m_events;
    StoreFollower m_follower;
    std::unique_ptr<TcpStream> m_tcp;
    MessageReader m_reader;
    std::string m_body;
    std::optional<StoreQuestion> m_question; ///< that waits for its answer
    bool m_decoding = false;
    bool m_outageReported = false;
    bool m_stopped = false;
    bool m_watching = true;
    ScopedTimer m_nextCallTimer;
    ScopedTimer m_timeoutTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<StoreQuestion::Kind, Counter *> m_calls;
    std::map<StoreFailure, Counter *> m_failures;
    Counter &m_bytes;
};

} // namespace Fescuenotch
