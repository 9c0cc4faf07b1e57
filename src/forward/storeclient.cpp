#include "forward/storeclient.h"

#include "kernel/logging.h"

#include <algorithm>
#include <charconv>

namespace Fescuenotch {

namespace {

constexpr milliseconds ReadLimit{1'500}; ///< ms; some hundred times the store's usual time
constexpr milliseconds WatchSlack{1'000}; ///< ms; beyond the time that the store may hold a watch
constexpr milliseconds LongestRetryAfter{5'000}; ///< ms; a longer wait that the store asks for is cut to this
constexpr MessageLimits StoreLimits{16'384, 64 * 1'024 * 1'024}; ///< bytes; a page of items is a megabyte or so
constexpr StreamOptions StoreOptions{milliseconds(1'000), milliseconds(3'000)};

milliseconds retryAfterOf(const Headers &headers)
{
    const auto *value = findHeader(headers, "Retry-After");
    if (value == nullptr) {
        return milliseconds(0);
    }
    double n = 0;
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), n);
    const auto wait = ec == std::errc() && n > 0 ? std::chrono::duration<double>(n) : std::chrono::duration<double>(0);
    return std::min(LongestRetryAfter, std::chrono::ceil<milliseconds>(wait));
}

std::optional<StoreFailure> failureOf(unsigned status)
{
    switch (status) {
    case 200:
    case 404:
        return std::nullopt;
    case 410:
        return StoreFailure::HistoryGone;
    case 429:
        return StoreFailure::Limited;
    case 503:
        return StoreFailure::Unavailable;
    default:
        return StoreFailure::BadAnswer;
    }
}

} // namespace

StoreClient::StoreClient(EventLoop &loop,
                         Worker &worker,
                         const Endpoint &store,
                         const PlatformAdapter &adapter,
                         const StoreFollowerSettings &settings,
                         StoreEvents &events,
                         MetricsRegistry &metrics)
    : m_loop(loop)
    , m_worker(worker)
    , m_store(store)
    , m_adapter(adapter)
    , m_events(events)
    , m_follower(settings)
    , m_reader(MessageReader::Kind::Response, StoreLimits)
    , m_bytes(metrics.counter("fescuenotch_store_bytes_total", "Bytes of answers of the platform's store."))
{
    for (const auto kind : {StoreQuestion::Kind::Configuration, StoreQuestion::Kind::Targets, StoreQuestion::Kind::Watch}) {
        m_calls[kind] = &metrics.counter("fescuenotch_store_calls_total", "Calls to the platform's store.", {{"call", storeQuestionName(kind)}});
    }
    for (const auto failure :
         {StoreFailure::Unreachable, StoreFailure::Unavailable, StoreFailure::Limited, StoreFailure::HistoryGone, StoreFailure::BadAnswer}) {
        m_failures[failure]
            = &metrics.counter("fescuenotch_store_failures_total", "Calls to the store that gave nothing.", {{"reason", storeFailureName(failure)}});
    }
}

StoreClient::~StoreClient() = default;

void StoreClient::start()
{
    askNext();
}

void StoreClient::stop()
{
    m_stopped = true;
    m_tcp.reset();
    m_nextTimer.cancel();
    m_limitTimer.cancel();
}

void StoreClient::askNext()
{
    if (m_stopped || m_question || m_decoding) {
        return;
    }
    if (!m_watching) {
        return; // `setWatching` asks again
    }
    const auto now = m_loop.now();
    m_question = m_follower.next(now);
    if (!m_question) {
        m_nextTimer.start(m_loop.timers(), m_follower.nextAt() - now, [this](TimePoint) { askNext(); });
        return;
    }
    m_calls[m_question->kind]->add();
    m_limitTimer.start(m_loop.timers(), answerLimit(), [this](TimePoint) { failed(StoreFailure::Unreachable, milliseconds(0), "no answer in time"); });
    if (m_tcp && m_tcp->isOpen()) {
        send();
    } else {
        m_tcp = TcpStream::connect(m_loop, m_store, *this, StoreOptions);
    }
}

void StoreClient::setWatching(bool watching)
{
    const bool begins = watching && !m_watching;
    m_watching = watching;
    if (begins) {
        m_follower.startOver();
        askNext();
    }
}

milliseconds StoreClient::answerLimit() const
{
    return m_question->kind == StoreQuestion::Kind::Watch ? m_question->wait + WatchSlack : ReadLimit;
}

void StoreClient::onConnected()
{
    send();
}

void StoreClient::send()
{
    m_reader.next();
    m_body.clear();
    const auto target = m_adapter.storeTarget(*m_question);
    m_tcp->write(formatRequestHead("GET", target, {{"Host", toString(m_store)}}, {}));
}

void StoreClient::onInput()
{
    if (!m_question) {
        m_tcp->reset(); // bytes that nobody asked for
        return;
    }
    if (!m_reader.isHeadComplete()) {
        const auto step = m_reader.readHead(m_tcp->input());
        if (step == MessageReader::ReadResult::NeedMore) {
            return;
        }
        if (step != MessageReader::ReadResult::Done) {
            failed(StoreFailure::BadAnswer, milliseconds(0), "the head is malformed");
            return;
        }
    }
    const auto step = m_reader.readBody(m_tcp->input(), m_body);
    if (step == MessageReader::ReadResult::Done) {
        onAnswer();
    } else if (step != MessageReader::ReadResult::NeedMore) {
        failed(StoreFailure::BadAnswer, milliseconds(0), "the body is malformed or too large");
    }
}

void StoreClient::onClosed(CloseCause cause)
{
    if (m_question) {
        failed(StoreFailure::Unreachable, milliseconds(0), closeCauseName(cause));
    }
}

void StoreClient::onAnswer()
{
    m_bytes.add(m_body.size());
    if (!m_reader.head().keepAlive) {
        m_tcp->close();
    }
    const auto failure = failureOf(m_reader.head().status);
    if (failure) {
        failed(*failure, retryAfterOf(m_reader.head().headers), "status " + std::to_string(m_reader.head().status));
        return;
    }
    m_limitTimer.cancel();
    decode(std::move(m_body));
}

void StoreClient::decode(std::string body)
{
    const auto question = *m_question;
    m_question.reset();
    m_decoding = true;
    const bool missing = m_reader.head().status == 404;
    m_worker.run(
        [this, question, missing, body = std::move(body)]() -> std::variant<StoreReply, Error> {
            if (missing) {
                return StoreReply{};
            }
            return valueOrError([&] { return m_adapter.decodeReply(question, body); });
        },
        [this, question, alive = std::weak_ptr(m_alive)](std::variant<StoreReply, Error> decoded) {
            if (!alive.expired()) {
                onDecoded(question, std::move(decoded));
            }
        });
}

void StoreClient::onDecoded(const StoreQuestion &question, std::variant<StoreReply, Error> decoded)
{
    m_decoding = false;
    if (const auto *error = std::get_if<Error>(&decoded)) {
        m_question = question;
        failed(StoreFailure::BadAnswer, milliseconds(0), error->what);
        return;
    }
    auto update = m_follower.onReply(m_loop.now(), question, std::move(std::get<StoreReply>(decoded)));
    if (m_wasAway) {
        m_wasAway = false;
        logEvent(LogLevel::Info, "store_back").with("revision", update.revision);
    }
    m_events.onStoreUpdate(std::move(update));
    askNext();
}

void StoreClient::failed(StoreFailure failure, milliseconds retryAfter, const std::string &detail)
{
    const auto question = *m_question;
    m_question.reset();
    m_limitTimer.cancel();
    m_failures[failure]->add();
    const bool connectionIsSpoilt = failure == StoreFailure::Unreachable || failure == StoreFailure::BadAnswer;
    if (connectionIsSpoilt && m_tcp) {
        m_tcp->reset();
    }
    m_follower.onFailure(m_loop.now(), question, failure, retryAfter);
    logEvent(LogLevel::Info, "store_call_failed")
        .with("call", storeQuestionName(question.kind))
        .with("reason", storeFailureName(failure))
        .with("detail", detail)
        .with("away", m_follower.isAway() ? 1 : 0);
    if (m_follower.isAway() && !m_wasAway) {
        m_wasAway = true;
        logEvent(LogLevel::Warning, "store_away").with("reason", storeFailureName(failure)).with("detail", detail);
    }
    m_loop.defer([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            askNext();
        }
    });
}

} // namespace Fescuenotch
