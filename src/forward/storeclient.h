// Reads the platform's store: makes the calls that StoreSync schedules, over one connection and one at a time. Answers
// are decoded on the worker's thread. The store is never written.
//
// How to use: `start`, then handle `StoreEvents::onStoreUpdate` on the event loop. `setWatching(false)` stops the calls while
// another node watches the store; `setWatching(true)` resumes them with a new listing. `stop` ends them for good.
//
// Pitfalls:
// - Failures are not reported to StoreEvents: they are counted, logged and retried; `sync().isUnavailable()` is true
//   during an outage.
// - A call in flight is completed after `setWatching(false)`, and its update is still delivered.
#pragma once

#include "adapter/adapter.h"
#include "http1/messagereader.h"
#include "kernel/metrics.h"
#include "loop/tcpstream.h"
#include "loop/worker.h"
#include "mesh/storesync.h"

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
                const StoreSyncSettings &settings,
                StoreEvents &events,
                MetricsRegistry &metrics);
    ~StoreClient() override;
    void start();
    void stop();
    /// False: no new calls are made, since peers report the changes.
    void setWatching(bool watching);
    /// A peer knows this era of the store. A higher one than the store has stated restarts with the listing, even if a watch is pending.
    void onEraTold(std::uint64_t era);
    bool isWatching() const
    {
        return m_watching;
    }
    const StoreSync &sync() const
    {
        return m_sync;
    }

private:
    void startNextCall();
    void send();
    void onConnected() override;
    void onInput() override;
    void onClosed(CloseCause cause) override;
    void onAnswer();
    /// The era of the answer. One that is missing or invalid is logged, and the last one stays.
    std::uint64_t readEra();
    void decode(std::string body, std::uint64_t era);
    void onDecoded(const StoreQuery &query, std::variant<StoreResponse, Error> decoded);
    void onCallFailed(StoreFailure failure, milliseconds retryAfter, const std::string &detail);
    milliseconds answerTimeout() const;

    EventLoop &m_loop;
    Worker &m_worker;
    Endpoint m_store;
    const PlatformAdapter &m_adapter;
    StoreEvents &m_events;
    StoreSync m_sync;
    std::unique_ptr<TcpStream> m_tcp;
    MessageReader m_reader;
    std::string m_body;
    std::optional<StoreQuery> m_query; ///< of the call in flight
    std::uint64_t m_statedEra = 0; ///< highest that the store itself has stated
    bool m_decoding = false;
    bool m_outageReported = false;
    bool m_stopped = false;
    bool m_watching = true;
    ScopedTimer m_nextCallTimer;
    ScopedTimer m_timeoutTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<StoreQuery::Kind, Counter *> m_calls;
    std::map<StoreFailure, Counter *> m_failures;
    Counter &m_bytes;
};

} // namespace Fescuenotch
