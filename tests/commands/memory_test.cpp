// Memory of the real program, as a separate process, while callers read slowly.
#include "platform/names.h"
#include "tests/support/nodeprocess.h"
#include "tests/support/storestandin.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <sstream>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr milliseconds StartLimit{10'000}; ///< ms
constexpr double MemoryMegabytes = 160;
constexpr double BudgetShare = 0.15; ///< of the memory; for buffered bytes
constexpr std::size_t SlowCallers = 300;
constexpr std::size_t AnswerBytes = 800'000;
constexpr int ReceiveBuffer = 4'096; ///< bytes; so that the answers wait in the node and not in the test's sockets
constexpr milliseconds ReadPeriod{250};
constexpr std::size_t BytesPerRead = 256; ///< 1 KB/s
constexpr seconds Length{12};
constexpr seconds JudgingTime{2}; ///< until the node has seen which callers read slowly

std::string nextAddress()
{
    static unsigned host = 0;
    return "127.23." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(++host);
}

/// Refusals in a node's log, as "REASON count" by second.
std::string refusalsByReason(const std::string &log)
{
    std::map<std::string, unsigned> counts;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const auto at = line.find(" reason=");
        if (line.find("event=refused") != std::string::npos && at != std::string::npos) {
            ++counts[line.substr(line.find('T') + 1, 8) + " " + line.substr(at + 8, line.find(' ', at + 8) - at - 8)];
        }
    }
    std::string text;
    for (const auto &[reason, count] : counts) {
        text += reason + " " + std::to_string(count) + "; ";
    }
    return text;
}

/// Callers that each ask for one large answer and read it at 1 KB/s.
class SlowReaders
{
public:
    SlowReaders(const Endpoint &node, const std::string &path)
    {
        for (std::size_t n = 0; n < SlowCallers; ++n) {
            m_sockets.push_back(RawSocket::connectTo(node, ReceiveBuffer));
            m_sockets.back().send("GET " + path + " HTTP/1.1\r\nHost: desk\r\n" + Platform::RequestIdHeader + ": slow-" + std::to_string(n) + "\r\n\r\n");
        }
        m_heads.resize(m_sockets.size());
        m_ended.resize(m_sockets.size());
    }

    void readSome()
    {
        std::array<char, BytesPerRead> buf{};
        for (std::size_t n = 0; n < m_sockets.size(); ++n) {
            const auto got = m_ended[n] ? 0 : ::recv(m_sockets[n].fd(), buf.data(), buf.size(), MSG_DONTWAIT);
            if (got > 0) {
                m_heads[n].append(buf.data(), m_heads[n].empty() ? static_cast<std::size_t>(got) : 0);
            } else if (got == 0 || errno != EAGAIN) {
                m_regularEnds += !m_ended[n] && got == 0 && isLargeAnswer(n) ? 1 : 0;
                m_ended[n] = true;
            }
        }
    }

    std::size_t ended() const
    {
        return static_cast<std::size_t>(std::count(m_ended.begin(), m_ended.end(), true));
    }

    std::size_t largeAnswers() const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < m_heads.size(); ++n) {
            count += isLargeAnswer(n) ? 1 : 0;
        }
        return count;
    }

    /// Callers that got neither an answer nor a refusal that says not run.
    std::size_t unanswered() const
    {
        return static_cast<std::size_t>(std::count_if(m_heads.begin(), m_heads.end(), [](const std::string &head) {
            return !head.starts_with("HTTP/1.1 200") && !head.starts_with("HTTP/1.1 429") && !head.starts_with("HTTP/1.1 503");
        }));
    }

    /// Large answers whose connection ended without a reset.
    std::size_t regularEnds() const
    {
        return m_regularEnds;
    }

private:
    bool isLargeAnswer(std::size_t n) const ///< and not a refusal
    {
        return m_heads[n].starts_with("HTTP/1.1 200");
    }

    std::vector<RawSocket> m_sockets;
    std::vector<std::string> m_heads; ///< first bytes of the answers
    std::vector<bool> m_ended;
    std::size_t m_regularEnds = 0;
};

class MemoryFixture
{
public:
    MemoryFixture()
        : m_address(nextAddress())
        , m_store({m_address, 9'805})
        , node({m_folder.path(), "node", m_address, m_address, "desk", "one", m_store.endpoint(), seconds(4), MemoryMegabytes})
        , m_target("t0", node.targetEndpoint(), m_journal)
    {
        m_store.put("servers/t0", entryText("desk", node.targetEndpoint(), "one"));
        m_store.put("op/config", configurationText(1, "desk", seconds(2)));
        node.start();
        BOOST_REQUIRE_MESSAGE(node.waitReady(StartLimit), node.log());
    }

private:
    ScratchFolder m_folder;
    std::string m_address;
    StoreStandin m_store;
    RunJournal m_journal;

public:
    NodeProcess node;

private:
    PlatformTarget m_target;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryTest, MemoryFixture)

/// Guards against a node that the platform ends for its memory, because it holds the answers of callers that hardly read, and against
/// other callers that are no longer served meanwhile.
BOOST_AUTO_TEST_CASE(callers_hundredsReadVerySlowly_memoryStaysLowAndOthersAreServed)
{
    const auto before = memoryOf(node.process().pid(), "VmRSS");
    const auto begin = Clock::now();
    SlowReaders slow(node.callerEndpoint(), "/read/0/" + std::to_string(AnswerBytes));
    std::vector<std::unique_ptr<KeptCaller>> others;
    for (unsigned n = 0; n < 4; ++n) {
        others.push_back(std::make_unique<KeptCaller>("small" + std::to_string(n), node.callerEndpoint(), "/read/5/2000"));
        others.push_back(std::make_unique<KeptCaller>("large" + std::to_string(n), node.callerEndpoint(), "/read/20/100000"));
    }
    for (const auto end = begin + Length; Clock::now() < end; std::this_thread::sleep_for(ReadPeriod)) {
        slow.readSome();
    }
    const auto peak = memoryOf(node.process().pid(), "VmHWM");
    std::size_t served = 0;
    std::size_t asked = 0;
    std::size_t cut = 0;
    std::size_t servedLater = 0;
    std::size_t askedLater = 0;
    for (const auto &caller : others) {
        caller->stop();
        for (const auto &call : caller->outcomes()) {
            const bool isServed = call.whole && call.own && call.status == 200;
            const bool isLater = call.sentAt - begin >= JudgingTime;
            asked += 1;
            served += isServed ? 1 : 0;
            cut += isServed || call.refused() ? 0 : 1;
            askedLater += isLater ? 1 : 0;
            servedLater += isLater && isServed ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE("peak " << peak << " MB, at the start " << before << " MB; others served " << served << " of " << asked << ", from 2 s on "
                               << servedLater << " of " << askedLater << ", cut " << cut << "; slow ones answered " << slow.largeAnswers() << ", not answered "
                               << slow.unanswered() << ", ended " << slow.ended() << ", ended regularly " << slow.regularEnds());
    BOOST_TEST_MESSAGE(refusalsByReason(node.log()));
    BOOST_TEST(peak < MemoryMegabytes / 2);
    BOOST_TEST(asked > 100U);
    BOOST_TEST(static_cast<double>(served) >= 0.9 * static_cast<double>(asked)); // refused callers try again every 20 ms
    BOOST_TEST(askedLater > 100U);
    BOOST_TEST(static_cast<double>(servedLater) >= 0.99 * static_cast<double>(askedLater));
    BOOST_TEST(cut == 0U);
    // How many are refused before they run depends on how many arrive before the size of the answers is known.
    BOOST_TEST(static_cast<double>(slow.largeAnswers() * AnswerBytes) > BudgetShare * MemoryMegabytes * 1e6);
    BOOST_TEST(slow.unanswered() == 0U);
    BOOST_TEST(slow.regularEnds() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
