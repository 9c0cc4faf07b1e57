// The real program, as separate processes, while callers that misbehave hold unfinished request bodies. Checked is what does not depend on
// the machine's speed: the process lives, its memory and descriptors stay within the limits of its host, and ordinary callers are served.
#include "platform/names.h"
#include "tests/support/crowd.h"
#include "tests/support/nodeprocess.h"
#include "tests/support/storestandin.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr milliseconds StartLimit{10'000}; ///< ms
constexpr milliseconds StallLimit{3'000}; ///< ms; a crowd of which nobody can send for this long is done
constexpr milliseconds HangLimit{30'000}; ///< ms; a request that is not served within this is taken as never served
constexpr milliseconds RetryDelay{50}; ///< ms
constexpr seconds RouteTimeout{2};
constexpr double MemoryMegabytes = 64; ///< MB; of each host
constexpr unsigned MaxDescriptors = 200; ///< of each process, where they are limited
constexpr std::size_t MaxBodyBytes = 1'000'000; ///< bytes
constexpr unsigned EndlessCallers = 6;
constexpr std::uint64_t EndlessSentBytes = 500'000'000; ///< bytes; sent by all endless callers before others are looked at
constexpr double ColdRequestRate = 50; ///< requests per second

std::string nextAddress()
{
    static unsigned host = 0;
    return "127.29." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(++host);
}

std::string crowdConfiguration()
{
    auto json = nlohmann::json::parse(configurationText(1, "desk", RouteTimeout));
    json["limits"]["max_body_bytes"] = MaxBodyBytes;
    return json.dump();
}

std::string coldServiceConfiguration()
{
    auto json = nlohmann::json::parse(crowdConfiguration());
    for (auto &service : json["services"]) {
        service["cold_start"] = "500ms";
        service["cold_per_s"] = ColdRequestRate;
    }
    return json.dump();
}

/// Two nodes with a target each. A crowd is sent to the first one, for the service "desk".
class CrowdFixture
{
public:
    CrowdFixture()
        : m_store({nextAddress(), 9'805})
    {
    }

    void start(const std::string &configuration, double memoryMegabytes, unsigned maxDescriptors, const std::string &firstService = "desk")
    {
        for (std::size_t n = 0; n < 2; ++n) {
            const auto address = nextAddress();
            const auto name = std::to_string(n);
            const auto service = n == 0 ? firstService : "desk";
            NodePlace place{m_folder.path(), "node" + name, address, address, service, "one", m_store.endpoint(), seconds(4), memoryMegabytes, maxDescriptors};
            m_nodes.push_back(std::make_unique<NodeProcess>(place));
            m_targets.push_back(std::make_unique<PlatformTarget>("t" + name, m_nodes[n]->targetEndpoint(), m_journal));
            m_store.put("servers/t" + name, entryText(service, m_nodes[n]->targetEndpoint(), "one"));
        }
        m_store.put("op/config", configuration);
        for (const auto &node : m_nodes) {
            node->start();
            BOOST_REQUIRE_MESSAGE(node->waitReady(StartLimit), node->log());
        }
    }

    NodeProcess &node(std::size_t n)
    {
        return *m_nodes[n];
    }

    /// Status of one request on a connection of its own.
    unsigned request(std::size_t n, const std::string &framedRequest)
    {
        try {
            auto socket = RawSocket::connectTo(node(n).callerEndpoint());
            socket.send(framedRequest);
            const auto answer = socket.receiveAnswer(AnswerLimit);
            return answer.size() < 12 ? 0 : static_cast<unsigned>(std::strtoul(answer.c_str() + 9, nullptr, 10));
        } catch (const std::runtime_error &) {
            return 0;
        }
    }

    /// Whether an ordinary request is served, if its caller tries again after each refusal.
    bool isServed(std::size_t n)
    {
        const auto until = Clock::now() + HangLimit;
        while (Clock::now() < until && node(n).process().running()) {
            const auto id = "ordinary-" + std::to_string(m_requests++);
            const auto head = "POST /file/5 HTTP/1.1\r\nHost: desk\r\n" + std::string(Platform::RequestIdHeader) + ": " + id + "\r\n";
            if (request(n, head + Platform::RemainingTimeHeader + ": 1000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody") == 200) {
                return true;
            }
            std::this_thread::sleep_for(RetryDelay);
        }
        return false;
    }

    void checkServed()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            BOOST_TEST(isServed(n), "node " << n << " serves no ordinary request: " << node(n).lastLogLine());
        }
    }

    /// Sends the crowd to the first node, and checks that ordinary requests are served meanwhile, after the crowd was answered, and after its
    /// connections were closed. Then checks the limits of the hosts.
    void runCrowd(const CrowdShape &shape)
    {
        {
            Crowd crowd(node(0).callerEndpoint(), shape);
            crowd.send(StallLimit, [this] { sampleDescriptors(); });
            sampleDescriptors();
            checkServed();
            BOOST_TEST(crowd.waitForEnds(HangLimit), "callers of the crowd got no answer and were not cut off");
            checkServed();
            sampleDescriptors();
        }
        checkServed();
        checkLimits();
    }

    void runEndlessSenders(bool announces)
    {
        {
            const EndlessSenders senders(node(0).callerEndpoint(), EndlessCallers, announces);
            BOOST_TEST(waitUntil([&] { return senders.sentBytes() > EndlessSentBytes; }, HangLimit), "sent " << senders.sentBytes() << " bytes");
            checkServed();
        }
        checkServed();
        checkLimits();
    }

    void sampleDescriptors()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_mostDescriptors[n] = std::max(m_mostDescriptors[n], openDescriptors(node(n).process().pid()));
        }
    }

    void checkLimits()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            BOOST_TEST(node(n).process().running(), "node " << n << " has ended: " << node(n).lastLogLine());
            const auto &place = node(n).place();
            const auto peak = memoryOf(node(n).process().pid(), "VmHWM");
            BOOST_TEST_MESSAGE("node " << n << ": peak " << peak << " MB, descriptors " << m_mostDescriptors[n]);
            if (place.memoryMegabytes > 0) {
                BOOST_TEST(peak < place.memoryMegabytes);
            }
            if (place.maxDescriptors > 0) {
                BOOST_TEST(m_mostDescriptors[n] <= place.maxDescriptors);
            }
        }
    }

private:
    ScratchFolder m_folder;
    StoreStandin m_store;
    RunJournal m_journal;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::vector<std::unique_ptr<PlatformTarget>> m_targets;
    std::size_t m_mostDescriptors[2] = {0, 0};
    unsigned m_requests = 0;
};

struct MemoryCrowdFixture : CrowdFixture {
    MemoryCrowdFixture()
    {
        start(crowdConfiguration(), MemoryMegabytes, 0);
    }
};

/// All targets of the service are at the second node, so every body crosses the link.
struct RemoteCrowdFixture : CrowdFixture {
    RemoteCrowdFixture()
    {
        start(crowdConfiguration(), MemoryMegabytes, 0, "feed");
        BOOST_REQUIRE(isServed(0));
    }
};

struct DescriptorCrowdFixture : CrowdFixture {
    DescriptorCrowdFixture()
    {
        start(crowdConfiguration(), 0, MaxDescriptors);
    }
};

struct ServiceTimeCrowdFixture : CrowdFixture {
    ServiceTimeCrowdFixture()
    {
        start(crowdConfiguration(), 0, 0);
    }
};

struct ColdServiceCrowdFixture : CrowdFixture {
    ColdServiceCrowdFixture()
    {
        start(coldServiceConfiguration(), 0, 0);
        for (std::size_t n = 0; n < 2; ++n) {
            BOOST_REQUIRE(waitUntil([&] { return node(n).log().find("change=end") != std::string::npos; }, StartLimit));
        }
    }
};

} // namespace

// ---- [memory] ---------------------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_SUITE(MemoryCrowds, MemoryCrowdFixture)

BOOST_AUTO_TEST_CASE(bodies_sentWholeButForOneByte_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400});
}

BOOST_AUTO_TEST_CASE(bodies_sentPieceByPieceButForOneByte_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .pieceBytes = 8'192});
}

BOOST_AUTO_TEST_CASE(bodies_inLargeChunksButForOneByte_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .chunkBytes = 65'536});
}

BOOST_AUTO_TEST_CASE(bodies_inTinyChunksButForOneByte_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .bodyBytes = 100'000, .chunkBytes = 1, .pieceBytes = 8'192});
}

BOOST_AUTO_TEST_CASE(bodies_shortOfTheStreamingSizeButForOneByte_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 1'000, .bodyBytes = 64'000});
}

BOOST_AUTO_TEST_CASE(bodies_announcedBeyondTheLimit_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .bodyBytes = 2 * MaxBodyBytes, .pieceBytes = 65'536});
}

BOOST_AUTO_TEST_CASE(bodies_sentBeyondTheLimitInChunks_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .bodyBytes = 2 * MaxBodyBytes, .chunkBytes = 65'536, .pieceBytes = 65'536, .completeEvery = 0});
}

BOOST_AUTO_TEST_CASE(bodies_ofIdempotentRequestsSentWholeButForOneByte_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.path = "/read/5", .callers = 400});
}

BOOST_AUTO_TEST_CASE(requests_pipelinedWithLargeHeads_memoryStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.path = "/read/1000", .callers = 200, .requests = 64, .headBytes = 15'000, .bodyBytes = 64'000});
}

BOOST_AUTO_TEST_CASE(singleBody_asLargeAsAllowedInCalm_isServed)
{
    const auto head = std::string("POST /file/5 HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n");
    const std::string body(MaxBodyBytes, '.');
    BOOST_TEST(request(0, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body) == 200U);
    std::string chunked;
    for (std::size_t at = 0; at < body.size(); at += 100) {
        chunked += "64\r\n" + body.substr(at, 100) + "\r\n";
    }
    BOOST_TEST(request(1, head + "Transfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\n\r\n") == 200U);
    checkLimits();
}

BOOST_AUTO_TEST_SUITE_END()

// ---- [remote targets] -------------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_SUITE(RemoteCrowds, RemoteCrowdFixture)

BOOST_AUTO_TEST_CASE(bodies_sentWholeButForOneByte_memoryOfBothHostsStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400});
}

BOOST_AUTO_TEST_CASE(bodies_inTinyChunksButForOneByte_memoryOfBothHostsStaysWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .bodyBytes = 100'000, .chunkBytes = 1, .pieceBytes = 8'192});
}

/// The link takes nothing meanwhile.
BOOST_AUTO_TEST_CASE(bodies_sentWhileTheOtherNodeIsStopped_memoryStaysWithinLimitAndOthersAreServed)
{
    node(1).process().signal(SIGSTOP);
    {
        Crowd crowd(node(0).callerEndpoint(), {.callers = 400});
        crowd.send(StallLimit, [this] { sampleDescriptors(); });
        BOOST_TEST(crowd.waitForEnds(HangLimit), "callers of the crowd got no answer and were not cut off");
        node(1).process().signal(SIGCONT);
        checkServed();
    }
    checkServed();
    checkLimits();
}

BOOST_AUTO_TEST_SUITE_END()

// ---- [endless senders] ------------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_SUITE(EndlessBodies, MemoryCrowdFixture)

/// Guards against a node that reads from the fastest callers only.
BOOST_AUTO_TEST_CASE(bodies_announcedBeyondTheLimitAndSentWithoutEnd_othersAreServed)
{
    runEndlessSenders(true);
}

BOOST_AUTO_TEST_CASE(bodies_sentInChunksWithoutEnd_othersAreServed)
{
    runEndlessSenders(false);
}

BOOST_AUTO_TEST_SUITE_END()

// ---- [descriptors] ----------------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_SUITE(DescriptorCrowds, DescriptorCrowdFixture)

BOOST_AUTO_TEST_CASE(connections_moreThanDescriptorsWithUnfinishedBodies_descriptorsStayWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .bodyBytes = 70'000});
}

BOOST_AUTO_TEST_CASE(connections_moreThanDescriptorsWithoutTheirBodies_descriptorsStayWithinLimitAndOthersAreServed)
{
    runCrowd({.callers = 400, .bodyBytes = 1, .completeEvery = 0});
}

BOOST_AUTO_TEST_SUITE_END()

// ---- [service times] --------------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_SUITE(ServiceTimeCrowds, ServiceTimeCrowdFixture)

/// Guards against nodes that take the time that a caller needs for its body as the target's, and then refuse all requests for good.
BOOST_AUTO_TEST_CASE(bodies_unfinishedUntilTheTimeout_otherRequestsAreServedByAllNodes)
{
    runCrowd({.callers = 40, .completeEvery = 0});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ColdServiceCrowds, ColdServiceCrowdFixture)

/// The same for a service whose cold targets take a limited rate, of which none is cold.
BOOST_AUTO_TEST_CASE(bodies_unfinishedUntilTheTimeout_otherRequestsAreServedByAllNodes)
{
    runCrowd({.callers = 40, .completeEvery = 0});
}

BOOST_AUTO_TEST_SUITE_END()
