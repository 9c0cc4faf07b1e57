#include "forward/storeclient.h"

#include "kernel/logging.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr milliseconds ReadTimeout{1'500}; ///< ms; about a hundred times the usual response time of the store
constexpr milliseconds WatchTimeoutMargin{1'000}; ///< ms; added to the time for which the store may hold a watch open
constexpr milliseconds MaxRetryAfter{5'000}; ///< ms; a longer Retry-After of the store is reduced to this
constexpr MessageLimits StoreMessageLimits{16'384, 64 * 1'024 * 1'024}; ///< bytes of header and body; a page of items has about one megabyte
constexpr StreamOptions StoreStreamOptions{milliseconds(1'000), milliseconds(3'000)};

milliseconds parseRetryAfter(const Headers &headers)
{
    const auto *value = findHeader(headers, "Retry-After");
    if (value == nullptr) {
        return milliseconds(0);
    }
    double n = 0;
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), n);
    const bool valid = ec == std::errc() && std::isfinite(n) && n > 0;
    const auto wait = std::min(std::chrono::duration<double>(valid ? n : 0), std::chrono::duration<double>(MaxRetryAfter));
    return std::chrono::ceil<milliseconds>(wait);
}

std::optional<StoreFailure> failureForStatus(unsigned status)
{
    switch (status) {
    case 200:
    case 404:
        return std::nullopt;
    case 410:
        return StoreFailure::HistoryCompacted;
    case 429:
        return StoreFailure::RateLimited;
    case 503:
        return StoreFailure::Unavailable;
    default:
        return StoreFailure::InvalidResponse;
    }
}

} // namespace

StoreClient::StoreClient(EventLoop &loop,
                         Worker &worker,
                         const Endpoint &store,
                         const PlatformAdapter &adapter,
                         const StoreSyncSettings &settings,
                         StoreEvents &events,
                         MetricsRegistry &metrics)
    : m_loop(loop)
    , m_worker(worker)
    , m_store(store)
    , m_adapter(adapter)
    , m_events(events)
    , m_sync(settings)
    , m_reader(MessageReader::Kind::Response, StoreMessageLimits)
    , m_bytes(metrics.counter("fescuenotch_store_bytes_total", "Bytes of answers of the platform's store."))
{
    for (const auto kind : {StoreQuery::Kind::Configuration, StoreQuery::Kind::Targets, StoreQuery::Kind::Watch, StoreQuery::Kind::OperatorItems}) {
        m_calls[kind] = &metrics.counter("fescuenotch_store_calls_total", "Calls to the platform's store.", {{"call", storeQueryName(kind)}});
    }
    for (const auto failure : {StoreFailure::Unreachable,
                               StoreFailure::Unavailable,
                               StoreFailure::RateLimited,
                               StoreFailure::HistoryCompacted,
                               StoreFailure::InvalidResponse,
                               StoreFailure::OutdatedEra}) {
        m_failures[failure]
            = &metrics.counter("fescuenotch_store_failures_total", "Calls to the store that gave nothing.", {{"reason", storeFailureName(failure)}});
    }
}

StoreClient::~StoreClient() = default;

void StoreClient::start()
{
    startNextCall();
}

void StoreClient::stop()
{
    m_stopped = true;
    m_tcp.reset();
    m_nextCallTimer.cancel();
    m_timeoutTimer.cancel();
}

void StoreClient::startNextCall()
{
    if (m_stopped || m_query || m_decoding) {
        return;
    }
    if (!m_watching) {
        return; // `setWatching` continues
    }
    const auto now = m_loop.now();
    m_query = m_sync.next(now);
    if (!m_query) {
        m_nextCallTimer.start(m_loop.timers(), m_sync.nextAt() - now, [this](TimePoint) { startNextCall(); });
        return;
    }
    m_calls[m_query->kind]->add();
    m_timeoutTimer.start(
        m_loop.timers(), answerTimeout(), [this](TimePoint) { onCallFailed(StoreFailure::Unreachable, milliseconds(0), "no answer within the timeout"); });
    if (m_tcp && m_tcp->isOpen()) {
        send();
    } else {
        m_tcp = TcpStream::connect(m_loop, m_store, *this, StoreStreamOptions);
    }
}

void StoreClient::setWatching(bool watching)
{
    const bool begins = watching && !m_watching;
    m_watching = watching;
    if (begins) {
        m_sync.restart();
        startNextCall();
    }
}

milliseconds StoreClient::answerTimeout() const
{
    return m_query->kind == StoreQuery::Kind::Watch ? m_query->wait + WatchTimeoutMargin : ReadTimeout;
}

void StoreClient::onConnected()
{
    send();
}

void StoreClient::send()
{
    m_reader.next();
    m_body.clear();
    const auto target = m_adapter.storeRequestTarget(*m_query);
    m_tcp->write(formatRequestHead("GET", target, {{"Host", toString(m_store)}}, {}));
}

void StoreClient::onInput()
{
    if (!m_query) {
        m_tcp->reset(); // unsolicited bytes
        return;
    }
    if (!m_reader.isHeadComplete()) {
        const auto result = m_reader.readHead(m_tcp->input());
        if (result == MessageReader::ReadResult::NeedMore) {
            return;
        }
        if (result != MessageReader::ReadResult::Done) {
            onCallFailed(StoreFailure::InvalidResponse, milliseconds(0), "the header of the answer is malformed or too large");
            return;
        }
    }
    const auto result = m_reader.readBody(m_tcp->input(), m_body);
    if (result == MessageReader::ReadResult::Done) {
        onAnswer();
    } else if (result != MessageReader::ReadResult::NeedMore) {
        onCallFailed(StoreFailure::InvalidResponse, milliseconds(0), "the body of the answer is malformed or too large");
    }
}

void StoreClient::onClosed(CloseCause cause)
{
    if (m_query) {
        onCallFailed(StoreFailure::Unreachable, milliseconds(0), closeCauseName(cause));
    }
}

void StoreClient::onEraTold(std::uint64_t era)
{
    if (!m_sync.noteEra(m_loop.now(), era) || !m_query) {
        return;
    }
    // The answer to the call in flight would be of the era before.
    m_query.reset();
    m_timeoutTimer.cancel();
    m_tcp->reset();
    startNextCall();
}

std::uint64_t StoreClient::readEra()
{
    const auto read = valueOrError([&] { return m_adapter.decodeStoreEra(m_reader.head().headers); });
    const auto known = m_sync.era();
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Error, "store_era_refused").with("era_in_force", known).with(*error);
        return known;
    }
    const auto &era = std::get<std::optional<std::uint64_t>>(read);
    if (era.value_or(0) < m_statedEra) {
        logEvent(LogLevel::Error, "store_era_refused")
            .with("era_in_force", known)
            .with("stated", era ? std::to_string(*era) : "none")
            .with("remedy", "the store's era must be stated in all of its answers and must not fall");
    }
    if (!era) {
        return known;
    }
    m_statedEra = std::max(m_statedEra, *era);
    return *era;
}

void StoreClient::onAnswer()
{
    m_bytes.add(m_body.size());
    if (!m_reader.head().keepAlive) {
        m_tcp->close();
    }
    const auto era = readEra();
    const auto failure = failureForStatus(m_reader.head().status);
    if (failure) {
        m_sync.noteEra(m_loop.now(), era);
        onCallFailed(*failure, parseRetryAfter(m_reader.head().headers), "status " + std::to_string(m_reader.head().status));
        return;
    }
    m_timeoutTimer.cancel();
    decode(std::move(m_body), era);
}

void StoreClient::decode(std::string body, std::uint64_t era)
{
    const auto query = *m_query;
    m_query.reset();
    m_decoding = true;
    const bool missing = m_reader.head().status == 404;
    m_worker.run(
        [this, query, missing, era, body = std::move(body)]() -> std::variant<StoreResponse, Error> {
            StoreResponse absent;
            absent.position.era = era;
            if (missing) {
                return absent;
            }
            return valueOrError([&]() -> Result<StoreResponse> {
                BOOST_LEAF_AUTO(response, m_adapter.decodeResponse(query, body));
                response.position.era = era;
                return response;
            });
        },
        [this, query, alive = std::weak_ptr(m_alive)](std::variant<StoreResponse, Error> decoded) {
            if (!alive.expired()) {
                onDecoded(query, std::move(decoded));
            }
        });
}

void StoreClient::onDecoded(const StoreQuery &query, std::variant<StoreResponse, Error> decoded)
{
    m_decoding = false;
    if (const auto *error = std::get_if<Error>(&decoded)) {
        m_query = query;
        onCallFailed(StoreFailure::InvalidResponse, milliseconds(0), error->what);
        return;
    }
    auto update = m_sync.onResponse(m_loop.now(), query, std::move(std::get<StoreResponse>(decoded)));
    if (update.outdated) {
        m_failures[StoreFailure::OutdatedEra]->add();
        logEvent(LogLevel::Info, "store_call_failed")
            .with("call", storeQueryName(query.kind))
            .with("reason", storeFailureName(StoreFailure::OutdatedEra))
            .with("era", update.position.era)
            .with("era_in_force", m_sync.era());
        startNextCall();
        return;
    }
    if (m_outageReported) {
        m_outageReported = false;
        logEvent(LogLevel::Info, "store_back").with("era", update.position.era).with("revision", update.position.revision);
    }
    m_events.onStoreUpdate(std::move(update));
    startNextCall();
}

void StoreClient::onCallFailed(StoreFailure failure, milliseconds retryAfter, const std::string &detail)
{
    const auto query = *m_query;
    m_query.reset();
    m_timeoutTimer.cancel();
    m_failures[failure]->add();
    const bool connectionIsUnusable = failure == StoreFailure::Unreachable || failure == StoreFailure::InvalidResponse;
    if (connectionIsUnusable && m_tcp) {
        m_tcp->reset();
    }
    m_sync.onFailure(m_loop.now(), query, failure, retryAfter);
    logEvent(LogLevel::Info, "store_call_failed")
        .with("call", storeQueryName(query.kind))
        .with("reason", storeFailureName(failure))
        .with("detail", detail)
        .with("away", m_sync.isUnavailable() ? 1 : 0);
    if (m_sync.isUnavailable() && !m_outageReported) {
        m_outageReported = true;
        logEvent(LogLevel::Warning, "store_away").with("reason", storeFailureName(failure)).with("detail", detail);
    }
    m_loop.defer([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            startNextCall();
        }
    });
}

} // namespace Fescuenotch
