#include "standins/target.h"

#include "standins/archive.h"
#include "standins/program.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <memory>
#include <thread>

namespace Fescuenotch::Standins {

namespace {

constexpr milliseconds LeaveCheck{5}; ///< ms; between looks at whether the caller is still there
constexpr double ColdFactor = 10; ///< service times right after a cold start, as a multiple
constexpr std::uint64_t MaxArchive = 1ULL << 40U; ///< bytes

ServerReply notRunReply(bool draining)
{
    auto reply = jsonReply(503, R"({"reason":"refused before the start"})");
    reply.headers.push_back({"Fescuenotch-Outcome", "not-run"});
    reply.headers.push_back({"Retry-After", "1"});
    if (draining) {
        reply.headers.push_back({"Fescuenotch-Draining", "1"});
    }
    return reply;
}

/// What follows the last '/' of a path.
std::string tokenOf(const std::string &path)
{
    return path.substr(path.rfind('/') + 1);
}

std::string headerOf(const ServerCall &call, const char *name)
{
    const auto *value = findHeader(call.headers, name);
    return value == nullptr ? "" : *value;
}

ServerReply dropped()
{
    ServerReply reply;
    reply.dropConnection = true;
    return reply;
}

} // namespace

// ---- [service times] --------------------------------------------------------------------------------------------

Result<ServiceTime> parseServiceTime(const std::string &text)
{
    using Shape = ServiceTime::Shape;
    static const std::map<std::string, std::pair<Shape, unsigned>> shapes{
        {"fixed", {Shape::Fixed, 1}}, {"uniform", {Shape::Uniform, 2}}, {"exponential", {Shape::Exponential, 1}}, {"lognormal", {Shape::Lognormal, 2}}};
    const auto colon = text.find(':');
    const auto it = shapes.find(text.substr(0, colon));
    ServiceTime time;
    char extra = 0;
    const std::string numbers = colon == std::string::npos ? "" : text.substr(colon + 1);
    const int n = std::sscanf(numbers.c_str(), "%lf:%lf%c", &time.first, &time.second, &extra);
    const bool right = it != shapes.end() && n == static_cast<int>(it->second.second) && time.first >= 0 && time.second >= 0;
    if (!right) {
        return fail(ErrorKind::InvalidInput, "'" + text + "' is no service time", "use fixed:MS, uniform:LOW:HIGH, exponential:MEAN or lognormal:MEDIAN:SIGMA");
    }
    time.shape = it->second.first;
    return time;
}

milliseconds ServiceTime::draw(std::mt19937_64 &random) const
{
    double ms = first;
    if (shape == Shape::Uniform) {
        ms = std::uniform_real_distribution<double>(first, std::max(first, second))(random);
    } else if (shape == Shape::Exponential && first > 0) {
        ms = std::exponential_distribution<double>(1 / first)(random);
    } else if (shape == Shape::Lognormal && first > 0) {
        ms = std::lognormal_distribution<double>(std::log(first), second)(random);
    }
    return milliseconds(std::llround(ms));
}

// ---- [slots] ----------------------------------------------------------------------------------------------------

/// Holds a slot until it is released or goes out of scope.
class Target::Slot
{
public:
    explicit Slot(Target &target)
        : m_target(target)
    {
    }
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;
    ~Slot()
    {
        release();
    }
    void release()
    {
        if (!m_released.exchange(true)) {
            m_target.releaseSlot();
        }
    }

private:
    Target &m_target;
    std::atomic<bool> m_released{false};
};

Target::Target(const TargetSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_started(Clock::now())
{
    if (!settings.journal.empty()) {
        m_journal = open(settings.journal.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (m_journal < 0) {
            exitWith("--journal " + settings.journal + ": cannot be written; give a file in a folder that exists");
        }
    }
}

std::optional<ServerReply> Target::refuseWork()
{
    const std::lock_guard guard(m_lock);
    if (!m_faults.drain && !m_faults.shed) {
        return std::nullopt;
    }
    ++m_stats.refused;
    return notRunReply(m_faults.drain);
}

std::optional<ServerReply> Target::takeSlot(const ServerCall &call)
{
    std::unique_lock guard(m_lock);
    m_stats.inUseMost = std::max(m_stats.inUseMost, m_stats.inUse + 1);
    if (m_stats.inUse >= m_settings.slots) {
        ++m_stats.waited;
        if (m_settings.shed) {
            ++m_stats.refused;
            return notRunReply(false);
        }
    }
    while (m_stats.inUse >= m_settings.slots) {
        m_slotFree.wait_for(guard, LeaveCheck);
        if (call.callerLeft()) {
            return dropped();
        }
    }
    ++m_stats.inUse;
    ++m_stats.started;
    return std::nullopt;
}

void Target::releaseSlot()
{
    const std::lock_guard guard(m_lock);
    --m_stats.inUse;
    m_slotFree.notify_one();
}

bool Target::takeBreak()
{
    const std::lock_guard guard(m_lock);
    if (m_faults.breakMidway == 0) {
        return false;
    }
    m_faults.breakMidway -= m_faults.breakMidway > 0 ? 1 : 0;
    ++m_stats.broken;
    return true;
}

milliseconds Target::drawTime()
{
    const std::lock_guard guard(m_lock);
    auto time = m_settings.serviceTime.draw(m_random);
    const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - m_started);
    if (age < m_settings.coldStart) {
        const double warm = static_cast<double>(age.count()) / static_cast<double>(m_settings.coldStart.count());
        time = milliseconds(std::llround(static_cast<double>(time.count()) * (ColdFactor - (ColdFactor - 1) * warm)));
    }
    return time + milliseconds(m_faults.slowMs);
}

// ---- [requests] -------------------------------------------------------------------------------------------------

ServerReply Target::answer(const ServerCall &call)
{
    if (call.path == "/load" || call.path == "/health") {
        return load();
    }
    if (call.connectionCalls == 1) {
        std::this_thread::sleep_for(m_settings.connectDelay);
    }
    if (!waitSilently(call, &TargetFaults::silent)) {
        return dropped();
    }
    if (auto refusal = refuseWork()) {
        return std::move(*refusal);
    }
    if (auto refusal = takeSlot(call)) {
        return std::move(*refusal);
    }
    const auto slot = std::make_shared<Slot>(*this);
    journal("started", call);
    if (!work(call, drawTime())) {
        journal("cancelled", call);
        return dropped();
    }
    journal("finished", call);
    if (!waitSilently(call, &TargetFaults::silentAfter)) {
        return dropped();
    }
    auto reply = makeAnswer(call);
    if (reply.stream) {
        reply.done = [slot] { slot->release(); };
        reply.stream = [slot, bytes = reply.streamBytes, inner = std::move(reply.stream)](std::uint64_t offset, std::span<char> buf) {
            const auto n = inner(offset, buf);
            // Released before the last piece leaves, so that a caller's next request finds the slot free.
            if (n > 0 && offset + static_cast<std::uint64_t>(n) == bytes) {
                slot->release();
            }
            return n;
        };
    }
    return reply;
}

bool Target::work(const ServerCall &call, milliseconds time)
{
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
        std::this_thread::sleep_until(std::min(until, Clock::now() + LeaveCheck));
        if (call.callerLeft()) {
            const std::lock_guard guard(m_lock);
            ++m_stats.cancelled;
            return false;
        }
    }
    const std::lock_guard guard(m_lock);
    ++m_stats.finished;
    return true;
}

/// Waits while the fault is on. False when the caller left meanwhile.
bool Target::waitSilently(const ServerCall &call, bool TargetFaults::*fault)
{
    while (faults().*fault) {
        std::this_thread::sleep_for(LeaveCheck);
        if (call.callerLeft()) {
            return false;
        }
    }
    return true;
}

/// Breaks a body in the middle: the stream ends with an error once half of it was sent.
static BodyStream breakHalfway(BodyStream whole, std::uint64_t bytes)
{
    return [whole = std::move(whole), bytes](std::uint64_t offset, std::span<char> buf) -> std::ptrdiff_t {
        const auto half = bytes / 2;
        if (offset >= half) {
            return -1;
        }
        return whole(offset, buf.first(std::min<std::size_t>(buf.size(), half - offset)));
    };
}

static BodyStream textStream(const std::string &text)
{
    return [text](std::uint64_t offset, std::span<char> buf) -> std::ptrdiff_t {
        const auto n = std::min<std::size_t>(buf.size(), text.size() - offset);
        text.copy(buf.data(), n, offset);
        return static_cast<std::ptrdiff_t>(n);
    };
}

ServerReply Target::makeAnswer(const ServerCall &call)
{
    ServerReply reply;
    if (call.path.find("/archive/") != std::string::npos) {
        reply = archive(call);
    } else {
        reply.body = tokenOf(call.path);
        reply.headers.push_back({"ETag", "\"" + reply.body + "\""});
    }
    if (call.bodyBytes > 0) {
        reply.headers.push_back({"Received-Bytes", std::to_string(call.bodyBytes)});
    }
    if (takeBreak()) {
        if (!reply.stream) {
            reply.streamBytes = reply.body.size();
            reply.stream = textStream(reply.body);
        }
        reply.stream = breakHalfway(std::move(reply.stream), reply.streamBytes);
    }
    return reply;
}

ServerReply Target::archive(const ServerCall &call)
{
    const auto text = tokenOf(call.path);
    std::uint64_t size = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), size);
    if (ec != std::errc() || end != text.data() + text.size() || size > MaxArchive) {
        return jsonReply(404, R"({"reason":"use /archive/BYTES"})");
    }
    const std::string tag = "\"archive-" + text + "\"";
    ServerReply reply;
    reply.headers = {{"ETag", tag}, {"Accept-Ranges", "bytes"}, {"Content-Type", "application/octet-stream"}};
    ArchiveRange range{0, size};
    const auto wanted = headerOf(call, "Range");
    const auto condition = headerOf(call, "If-Range");
    if (!wanted.empty() && (condition.empty() || condition == tag)) {
        const auto parsed = parseRange(wanted, size);
        if (!parsed) {
            reply.status = 416;
            reply.headers.push_back({"Content-Range", "bytes */" + text});
            return reply;
        }
        range = *parsed;
        reply.status = 206;
        const auto last = range.first + range.length - 1;
        reply.headers.push_back({"Content-Range", "bytes " + std::to_string(range.first) + "-" + std::to_string(last) + "/" + text});
    }
    reply.streamBytes = range.length;
    reply.stream = [range](std::uint64_t offset, std::span<char> buf) {
        const auto n = std::min<std::uint64_t>(buf.size(), range.length - offset);
        fillArchive(range.first + offset, buf.first(n));
        return static_cast<std::ptrdiff_t>(n);
    };
    return reply;
}

// ---- [load, faults, journal] ------------------------------------------------------------------------------------

ServerReply Target::load()
{
    const std::lock_guard guard(m_lock);
    const auto inUse = m_faults.lyingLoad ? m_settings.slots - std::min(m_settings.slots, m_stats.inUse) : m_stats.inUse;
    return jsonReply(200, nlohmann::json{{"in_use", inUse}, {"slots", m_settings.slots}, {"draining", m_faults.drain && !m_faults.lyingLoad}}.dump());
}

TargetFaults Target::faults() const
{
    const std::lock_guard guard(m_lock);
    return m_faults;
}

ServerReply Target::operate(const ServerCall &call)
{
    if (call.method == "GET" && call.path == "/stats") {
        return jsonReply(200, statsJson().dump());
    }
    const auto fault = parseObject(call.body);
    if (call.method != "POST" || call.path != "/fault" || fault.is_null()) {
        return jsonReply(404, R"({"reason":"use GET /stats or POST /fault with an object"})");
    }
    bool refuse = false;
    {
        const std::lock_guard guard(m_lock);
        m_faults = fault.value("heal", false) ? TargetFaults{} : m_faults;
        m_faults.drain = fault.value("drain", m_faults.drain);
        m_faults.shed = fault.value("shed", m_faults.shed);
        m_faults.silent = fault.value("silent", m_faults.silent);
        m_faults.silentAfter = fault.value("silent_after", m_faults.silentAfter);
        m_faults.lyingLoad = fault.value("lying_load", m_faults.lyingLoad);
        m_faults.refuse = fault.value("refuse", m_faults.refuse);
        m_faults.slowMs = fault.value("slow_ms", m_faults.slowMs);
        m_faults.breakMidway = fault.value("break_midway", m_faults.breakMidway);
        refuse = m_faults.refuse;
    }
    onRefuse(refuse);
    return jsonReply(200, "{}");
}

void Target::drain(milliseconds linger)
{
    std::unique_lock guard(m_lock);
    m_faults.drain = true;
    const auto until = Clock::now() + linger;
    while (m_stats.inUse > 0 || Clock::now() < until) {
        m_slotFree.wait_for(guard, LeaveCheck);
    }
}

void Target::journal(const char *event, const ServerCall &call)
{
    if (m_journal < 0) {
        return;
    }
    const auto now = std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const nlohmann::json line{{"event", event},
                              {"attempt", headerOf(call, "Fescuenotch-Attempt")},
                              {"method", call.method},
                              {"path", call.path},
                              {"token", tokenOf(call.path)},
                              {"time_us", now}};
    const auto text = line.dump() + "\n";
    // One write, so that lines of several threads never mix and a kill loses none that was written.
    if (write(m_journal, text.data(), text.size()) < 0) {
        exitWith("the journal cannot be written");
    }
}

nlohmann::json Target::statsJson() const
{
    const std::lock_guard guard(m_lock);
    return {{"started", m_stats.started},
            {"finished", m_stats.finished},
            {"cancelled", m_stats.cancelled},
            {"refused", m_stats.refused},
            {"broken", m_stats.broken},
            {"in_use", m_stats.inUse},
            {"in_use_most", m_stats.inUseMost},
            {"waited", m_stats.waited}};
}

} // namespace Fescuenotch::Standins
