#include "tests/support/nodeprocess.h"

#include "platform/names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace Fescuenotch::Tests {

namespace {

constexpr std::uint16_t TargetPort = 9'801;
constexpr std::uint16_t CallerPort = 9'802;
constexpr std::uint16_t PeerPort = 9'803;
constexpr std::uint16_t HealthPort = 9'804;
constexpr unsigned TargetConnections = 256;
constexpr unsigned ReadsPerSecond = 100; ///< of a caller that reads at a given rate
constexpr milliseconds ReconnectDelay{20}; ///< ms
constexpr double BytesPerKilobyte = 1'024; ///< of /proc
constexpr milliseconds RunStep{5}; ///< ms between looks whether the caller has left

std::string headerOf(const Standins::ServerCall &call, const char *name)
{
    const auto *value = findHeader(call.headers, name);
    return value == nullptr ? std::string() : *value;
}

/// The numbers at the end of a path, such as 0 and 100000 of /feed/0/100000.
std::vector<unsigned long> numbersOf(const std::string &path)
{
    std::vector<unsigned long> numbers;
    std::istringstream in(path);
    for (std::string part; std::getline(in, part, '/');) {
        if (!part.empty() && std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; })) {
            numbers.push_back(std::stoul(part));
        }
    }
    return numbers;
}

unsigned statusOf(const std::string &answer)
{
    constexpr std::size_t StatusAt = 9; // after "HTTP/1.1 "
    return answer.find("\r\n\r\n") == std::string::npos ? 0 : static_cast<unsigned>(std::strtoul(answer.c_str() + StatusAt, nullptr, 10));
}

/// Bytes of an answer and its head, as its Content-Length says; 0 without a whole head.
std::size_t wholeBytesOf(const std::string &answer)
{
    const auto headEnd = answer.find("\r\n\r\n");
    const auto length = answer.find("Content-Length: ");
    return headEnd != std::string::npos && length < headEnd ? headEnd + 4 + std::stoul(answer.substr(length + 16, 16)) : 0;
}

std::string targetOf(const std::string &answer)
{
    const auto at = answer.find("seal-");
    return at == std::string::npos ? std::string() : answer.substr(at + 5, answer.find("\r\n", at) - at - 5);
}

/// Reads one answer, and notes when it began.
std::string receiveAnswer(RawSocket &socket, CallOutcome &call)
{
    std::string answer;
    const auto left = [&] { return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(call.sentAt + AnswerLimit - Clock::now())); };
    if (call.bytesPerSecond == 0) {
        answer = socket.receiveAnswer(AnswerLimit);
        call.beganAt = Clock::now();
        return answer;
    }
    const auto bytesPerRead = std::max<std::size_t>(1, call.bytesPerSecond / ReadsPerSecond);
    while ((answer.empty() || answer.size() != wholeBytesOf(answer)) && socket.receiveSome(answer, left(), bytesPerRead) > 0) {
        call.beganAt = call.beganAt == TimePoint() ? Clock::now() : call.beganAt;
        std::this_thread::sleep_until(call.beganAt + milliseconds(answer.size() * 1'000 / call.bytesPerSecond));
    }
    return answer;
}

} // namespace

// ---- [journal and target] ---------------------------------------------------------------------------------------

void RunJournal::add(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    ++m_runs[requestId];
}

unsigned RunJournal::runs(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(requestId);
    return it == m_runs.end() ? 0 : it->second;
}

std::size_t RunJournal::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

PlatformTarget::PlatformTarget(std::string id, const Endpoint &endpoint, RunJournal &journal)
    : m_id(std::move(id))
    , m_journal(journal)
    , m_server(std::make_unique<Standins::HttpServer>(Standins::ServerSettings{endpoint, TargetConnections},
                                                      [this](const Standins::ServerCall &call) { return answer(call); }))
{
    if (const auto error = errorOf([&] { return m_server->start(); })) {
        throw std::runtime_error(describe(*error));
    }
}

void PlatformTarget::nameLimit(double perSecond)
{
    const std::lock_guard lock(m_mutex);
    m_limit = NamedLimit{perSecond, std::nullopt, {}};
}

NamedLimit PlatformTarget::endLimit()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_limit, std::nullopt).value_or(NamedLimit{});
}

Standins::ServerReply PlatformTarget::answer(const Standins::ServerCall &call)
{
    Standins::ServerReply reply;
    const auto id = headerOf(call, Platform::RequestIdHeader);
    const auto meantFor = headerOf(call, Platform::TargetIdHeader);
    reply.headers = {{Platform::RequestIdHeader, id}, {Platform::SignatureHeader, "seal-" + m_id}};
    {
        const std::lock_guard lock(m_mutex);
        if (m_limit) {
            const auto now = Clock::now();
            m_limit->toldAt = m_limit->toldAt.value_or(now);
            m_limit->arrivals.push_back(now);
            reply.headers.push_back({Platform::ServerLimitHeader, std::to_string(m_limit->perSecond)});
        }
    }
    if (!meantFor.empty() && meantFor != m_id) {
        reply.status = Platform::WrongTargetStatus;
        reply.headers.push_back({Platform::NotExecutedHeader, "1"});
        return reply;
    }
    m_journal.add(id);
    const auto numbers = numbersOf(call.path);
    const auto until = Clock::now() + milliseconds(numbers.empty() ? 0 : numbers[0]);
    while (Clock::now() < until && !call.callerLeft()) {
        std::this_thread::sleep_for(RunStep);
    }
    reply.body = id + "\n";
    reply.body.resize(std::max<std::size_t>(reply.body.size(), numbers.size() > 1 ? numbers[1] : 0), '.');
    return reply;
}

// ---- [node] -----------------------------------------------------------------------------------------------------

NodeProcess::NodeProcess(const NodePlace &place)
    : m_place(place)
    , m_process({Standins::buildFolder() + "/fescuenotch",
                 {"node", "--adapter", "platform"},
                 place.folder + "/" + place.name + ".log",
                 {std::string(Platform::SettingsVariable) + "=" + settingsPath()}})
{
    writeSettings(settingsText(place.service));
}

std::string NodeProcess::settingsPath() const
{
    return m_place.folder + "/" + m_place.name + ".json";
}

std::string NodeProcess::settingsText(const std::string &service) const
{
    const auto at = [&](std::uint16_t port) { return toString(Endpoint{m_place.listenAddress, port}); };
    nlohmann::json json{{"node_name", m_place.name},
                        {"ip", m_place.address},
                        {"zone", m_place.dataCentre},
                        {"region", "land"},
                        {"zones", {{m_place.dataCentre, "land"}}},
                        {"service", service},
                        {"app_addr", toString(targetEndpoint())},
                        {"listen_addrs", {{"inbound", at(PeerPort)}, {"outbound", at(CallerPort)}, {"readiness_addr", at(HealthPort)}}},
                        {"heartbeat", "500ms"},
                        {"bounds", {{"grace", std::to_string(m_place.stopLimit.count()) + "ms"}}},
                        {"platform", {{"address", toString(m_place.store)}, {"reads_per_s", 2'000}}}};
    if (m_place.memoryMegabytes > 0) {
        json["limits"]["memory_mb"] = m_place.memoryMegabytes;
    }
    if (m_place.maxDescriptors > 0) {
        json["limits"]["max_fds"] = m_place.maxDescriptors;
    }
    return json.dump();
}

void NodeProcess::writeSettings(const std::string &text)
{
    const auto next = settingsPath() + ".next";
    std::ofstream(next, std::ios::binary) << text;
    std::filesystem::rename(next, settingsPath());
}

void NodeProcess::start()
{
    if (const auto error = errorOf([&] { return m_process.start(); })) {
        throw std::runtime_error(describe(*error));
    }
}

bool NodeProcess::isListening() const
{
    try {
        RawSocket::connectTo({m_place.listenAddress, HealthPort});
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

bool NodeProcess::isReady() const
{
    try {
        auto socket = RawSocket::connectTo({m_place.listenAddress, HealthPort});
        socket.send(std::string("GET ") + Platform::ReadinessPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return statusOf(socket.receiveUntil("\r\n\r\n", seconds(1))) == 200;
    } catch (const std::runtime_error &) {
        return false;
    }
}

bool NodeProcess::waitReady(milliseconds limit)
{
    return waitUntil([this] { return isReady(); }, limit);
}

Endpoint NodeProcess::callerEndpoint() const
{
    return {m_place.listenAddress, CallerPort};
}

Endpoint NodeProcess::peerEndpoint() const
{
    return {m_place.listenAddress, PeerPort};
}

Endpoint NodeProcess::targetEndpoint() const
{
    return {m_place.address, TargetPort};
}

std::string NodeProcess::log() const
{
    return Standins::readFile(m_place.folder + "/" + m_place.name + ".log", m_process.logStart());
}

std::string NodeProcess::lastLogLine() const
{
    auto text = log();
    while (!text.empty() && text.back() == '\n') {
        text.pop_back();
    }
    return text.substr(text.rfind('\n') + 1);
}

// ---- [callers] --------------------------------------------------------------------------------------------------

KeptCaller::KeptCaller(std::string name, const Endpoint &node, const std::string &path)
    : KeptCaller(std::move(name), node, [path] { return CallerShape{path}; })
{
}

KeptCaller::KeptCaller(std::string name, const Endpoint &node, std::function<CallerShape()> drawShape)
    : m_name(std::move(name))
    , m_node(node)
    , m_drawShape(std::move(drawShape))
    , m_thread([this] { work(); })
{
}

KeptCaller::~KeptCaller()
{
    stop();
}

void KeptCaller::stop()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

const std::vector<CallOutcome> &KeptCaller::outcomes() const
{
    return m_outcomes;
}

void KeptCaller::work()
{
    while (!m_stopped) {
        try {
            runConnection(m_drawShape());
        } catch (const std::runtime_error &) { // nobody listens
        }
        std::this_thread::sleep_for(ReconnectDelay);
    }
}

void KeptCaller::runConnection(const CallerShape &shape)
{
    auto socket = RawSocket::connectTo(m_node, shape.receiveBuffer);
    const bool hasBody = shape.path.rfind("/file/", 0) == 0;
    for (unsigned n = 1; !m_stopped; ++n) {
        CallOutcome call;
        call.id = m_name + "-" + std::to_string(m_outcomes.size());
        call.path = shape.path;
        call.bytesPerSecond = shape.bytesPerSecond;
        call.sentAt = Clock::now();
        call.sent
            = socket.send(std::string(hasBody ? "POST " : "GET ") + shape.path + " HTTP/1.1\r\nHost: desk\r\n" + Platform::RequestIdHeader + ": " + call.id
                          + "\r\n" + (n == shape.requests ? "Connection: close\r\n" : "") + (hasBody ? "Content-Length: 4\r\n\r\nbody" : "\r\n"));
        const auto answer = receiveAnswer(socket, call);
        call.endedAt = Clock::now();
        call.closedUnread = socket.closedBeforeAllWasRead();
        call.status = statusOf(answer);
        call.bytes = answer.size();
        call.wholeBytes = wholeBytesOf(answer);
        call.whole = call.bytes > 0 && call.bytes == call.wholeBytes;
        call.target = targetOf(answer);
        call.own = answer.find("\r\n\r\n" + call.id + "\n") != std::string::npos;
        m_outcomes.push_back(call);
        if (!call.whole || n == shape.requests || answer.find("Connection: close") != std::string::npos) {
            return;
        }
        if (call.status != 200) {
            std::this_thread::sleep_for(ReconnectDelay);
        }
    }
}

// ---- [files and processes] --------------------------------------------------------------------------------------

ScratchFolder::ScratchFolder()
    : m_path((std::filesystem::temp_directory_path() / "fescuenotch-XXXXXX").string())
{
    if (::mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot create " + m_path);
    }
}

ScratchFolder::~ScratchFolder()
{
    if (!m_kept) {
        std::error_code ec;
        std::filesystem::remove_all(m_path, ec);
    }
}

double memoryOf(pid_t pid, const std::string &field)
{
    const auto status = Standins::readFile("/proc/" + std::to_string(pid) + "/status");
    const auto at = status.find(field + ":");
    return at == std::string::npos ? 0 : std::strtod(status.c_str() + at + field.size() + 1, nullptr) * BytesPerKilobyte / 1e6;
}

std::size_t openDescriptors(pid_t pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::vector<std::string> threadsThatTakeSignals(pid_t pid)
{
    const auto bit = [](int number) { return 1ULL << static_cast<unsigned>(number - 1); };
    const auto wanted = bit(SIGTERM) | bit(SIGINT) | bit(SIGHUP);
    std::vector<std::string> found;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        const auto status = Standins::readFile(entry.path().string() + "/status");
        const auto at = status.find("SigBlk:");
        const auto blocked = at == std::string::npos ? 0 : std::strtoull(status.c_str() + at + 7, nullptr, 16);
        if ((blocked & wanted) != wanted) {
            auto name = Standins::readFile(entry.path().string() + "/comm");
            name.erase(name.find_last_not_of('\n') + 1);
            found.push_back(name);
        }
    }
    return found;
}

} // namespace Fescuenotch::Tests
