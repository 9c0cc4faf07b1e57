#include "kernel/logging.h"

#include "kernel/logring.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace Fescuenotch {

namespace {

namespace logs = boost::log;

constexpr std::array<const char *, 5> LevelNames{"trace", "debug", "info", "warning", "error"};

std::atomic<LogLevel> lowestLevel{LogLevel::Info};
std::string &hostField()
{
    static std::string host;
    return host;
}

logs::sources::logger_mt &logger()
{
    static logs::sources::logger_mt instance;
    return instance;
}

constexpr std::string_view LevelField = " level=";

/// Hands formatted lines to a LogRing.
class RingBackend final : public logs::sinks::basic_formatted_sink_backend<char, logs::sinks::concurrent_feeding>
{
public:
    RingBackend()
        : m_ring(LogRingSettings{})
    {
    }

    void consume(const logs::record_view &, const string_type &line)
    {
        m_ring.push(line, isImportant(line));
    }

    void stop()
    {
        constexpr milliseconds LastWrites{200};
        m_ring.stop(LastWrites);
    }

private:
    static bool isImportant(const std::string &line)
    {
        const auto at = line.find(LevelField);
        const auto level = at == std::string::npos ? '\0' : line[at + LevelField.size()];
        return level == 'w' || level == 'e';
    }

    LogRing m_ring;
};

boost::shared_ptr<RingBackend> &ringBackend()
{
    static boost::shared_ptr<RingBackend> backend;
    return backend;
}

/// Wall time in UTC with milliseconds: 2026-01-31T12:00:00.123Z.
std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto whole = std::chrono::system_clock::to_time_t(now);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 40> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(ms));
    return std::string(buf.data(), n) + fraction.data();
}

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= ' ' || c == '"' || c == '=' || c == '\\' || byte == 0x7f) {
            return true;
        }
    }
    return false;
}

void appendEscaped(std::string &text, char c)
{
    if (c == '"' || c == '\\') {
        text += '\\';
        text += c;
        return;
    }
    if (c == '\n') {
        text += "\\n";
        return;
    }
    const auto byte = static_cast<unsigned char>(c);
    if (byte < ' ' || byte == 0x7f) {
        std::array<char, 8> buf{};
        std::snprintf(buf.data(), buf.size(), "\\x%02x", byte);
        text += buf.data();
        return;
    }
    text += c;
}

void appendValue(std::string &text, std::string_view value)
{
    if (!needsQuotes(value)) {
        text += value;
        return;
    }
    text += '"';
    for (const char c : value) {
        appendEscaped(text, c);
    }
    text += '"';
}

} // namespace

Result<LogLevel> parseLogLevel(std::string_view text)
{
    for (std::size_t n = 0; n < LevelNames.size(); ++n) {
        if (text == LevelNames[n]) {
            return static_cast<LogLevel>(n);
        }
    }
    return fail(ErrorKind::InvalidInput, "'" + std::string(text) + "' is no log level", "use trace, debug, info, warning or error");
}

void startLogging(LogLevel lowest, const std::string &host)
{
    lowestLevel = lowest;
    hostField() = host;
    using Backend = logs::sinks::text_ostream_backend;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<logs::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(logs::expressions::stream << logs::expressions::smessage);
    logs::core::get()->remove_all_sinks();
    logs::core::get()->add_sink(sink);
}

void startBoundedLogging(LogLevel lowest, const std::string &host)
{
    lowestLevel = lowest;
    hostField() = host;
    ringBackend() = boost::make_shared<RingBackend>();
    auto sink = boost::make_shared<logs::sinks::unlocked_sink<RingBackend>>(ringBackend());
    sink->set_formatter(logs::expressions::stream << logs::expressions::smessage);
    logs::core::get()->remove_all_sinks();
    logs::core::get()->add_sink(sink);
}

void stopBoundedLogging()
{
    if (ringBackend()) {
        ringBackend()->stop();
    }
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_enabled(level >= lowestLevel.load(std::memory_order_relaxed))
    , m_level(level)
{
    if (!m_enabled) {
        return;
    }
    m_text = "time=" + timestamp() + std::string(LevelField) + LevelNames[static_cast<std::size_t>(m_level)] + " event=";
    m_text += event;
    if (!hostField().empty()) {
        with("host", hostField());
    }
}

LogLine::~LogLine()
{
    if (m_enabled) {
        BOOST_LOG(logger()) << m_text;
    }
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (m_enabled) {
        m_text += ' ';
        m_text += key;
        m_text += '=';
        appendValue(m_text, value);
    }
    return *this;
}

LogLine &LogLine::with(const Error &error)
{
    return with("error", errorKindName(error.kind)).with("what", error.what).with("remedy", error.remedy);
}

} // namespace Fescuenotch
