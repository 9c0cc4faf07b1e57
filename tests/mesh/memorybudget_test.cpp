#include "mesh/memorybudget.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>

using namespace Fescuenotch;

namespace {

constexpr std::size_t Kilobyte = 1'000;
constexpr auto MemoryLimit = static_cast<std::uint64_t>(1'000 * Kilobyte / BudgetShare) + 1; ///< so that the budget is 1,000 KB
constexpr TimePoint Start{seconds(1'000)};
constexpr milliseconds Step{250};

/// Receivers of answers, each with its own rate.
struct BudgetFixture {
    struct Receiver {
        double bytesPerSecond = 0;
        std::size_t held = 0;
        std::uint64_t consumed = 0;
        bool isBlocked = true;
        std::unique_ptr<MemoryBudget::Account> account;
    };
    MemoryBudget budget{MemoryLimit};
    TimePoint now = Start;
    std::map<std::string, Receiver> receivers;
    std::vector<std::string> dropped;
    unsigned exceeded = 0;

    BudgetFixture()
    {
        budget.setOnExceeded([this] { ++exceeded; });
    }

    void update(Receiver &receiver) const
    {
        receiver.account->update(now, receiver.held, receiver.consumed, receiver.isBlocked && receiver.held > 0);
    }

    void add(const std::string &name, std::size_t kilobytes, double bytesPerSecond, MemoryBudget::Holder holder = MemoryBudget::Holder::Caller)
    {
        auto &receiver = receivers[name];
        receiver.bytesPerSecond = bytesPerSecond;
        receiver.held = kilobytes * Kilobyte;
        receiver.account = std::make_unique<MemoryBudget::Account>(budget, holder, now, [this, name] {
            dropped.push_back(name);
            receivers.erase(name);
        });
        update(receiver);
    }

    void pass(Duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += Step;
            for (auto &[name, receiver] : receivers) {
                const auto bytes = static_cast<std::size_t>(receiver.bytesPerSecond * std::chrono::duration<double>(Step).count());
                const auto taken = std::min(receiver.held, bytes);
                receiver.held -= taken;
                receiver.consumed += taken;
                update(receiver);
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryBudgetTest, BudgetFixture)

BOOST_AUTO_TEST_CASE(budget_noMemoryLimit_isOff)
{
    MemoryBudget unlimited(0);
    MemoryBudget::Account account(unlimited, MemoryBudget::Holder::Caller, now, [] { BOOST_ERROR("dropped without a limit"); });
    account.update(now, 1'000'000 * Kilobyte, 0, true);
    BOOST_TEST(unlimited.admits(now, 1'000'000 * Kilobyte));
    BOOST_TEST(unlimited.streamWindow(256 * 1024) == 256U * 1024);
    BOOST_TEST(unlimited.enforce(now).empty());
}

BOOST_AUTO_TEST_CASE(account_receiverLeaves_itsShareIsFreeAtOnce)
{
    add("one", 600, 0);
    BOOST_TEST(!budget.admits(now, 600 * Kilobyte));
    receivers.erase("one");
    BOOST_TEST(budget.used() == 0U);
    BOOST_TEST(budget.admits(now, 600 * Kilobyte));
}

BOOST_AUTO_TEST_CASE(streamWindow_halfOfTheBudgetUsed_isSmaller)
{
    add("one", 400, 0);
    BOOST_TEST(budget.streamWindow(256 * 1024) == 256U * 1024);
    add("two", 200, 0);
    BOOST_TEST(budget.streamWindow(256 * 1024) == 64U * 1024);
}

/// Guards against an answer that is being read and is dropped for one that is not.
BOOST_AUTO_TEST_CASE(enforce_oneStalledAndOneReadSlowly_stalledIsDropped)
{
    add("slow", 500, 1'000);
    pass(milliseconds(500));
    add("stalled", 450, 0);
    pass(seconds(3));
    add("new", 200, 500'000);
    BOOST_TEST(exceeded == 1U);
    BOOST_TEST(budget.enforce(now).size() == 1U);
    BOOST_TEST(dropped == std::vector<std::string>{"stalled"}, boost::test_tools::per_element());
    BOOST_TEST(budget.used() <= budget.limit());
}

/// Guards against a judgement by the mean rate alone: a receiver that was fast and stopped looks better than one that goes on slowly.
BOOST_AUTO_TEST_CASE(enforce_fastReceiverHasStopped_isDroppedBeforeSlowOneThatGoesOn)
{
    add("slow", 450, 1'000);
    add("stopped", 600, 150'000);
    pass(seconds(1));
    receivers["stopped"].bytesPerSecond = 0;
    pass(seconds(2));
    add("new", 150, 500'000);
    budget.enforce(now);
    BOOST_TEST(dropped == std::vector<std::string>{"stopped"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(enforce_allProgress_slowestIsDroppedFirst)
{
    add("fast", 400, 50'000);
    add("slow", 300, 2'000);
    add("slowest", 300, 1'000);
    pass(seconds(3));
    add("new", 250, 500'000);
    budget.enforce(now);
    BOOST_TEST(dropped == std::vector<std::string>{"slowest"}, boost::test_tools::per_element());
}

/// What waits for this node's link or target cannot help it, and its receiver would lose an answer for nothing.
BOOST_AUTO_TEST_CASE(enforce_receiversWaitForTheNode_noneIsDropped)
{
    add("waiting", 700, 0);
    receivers["waiting"].isBlocked = false;
    pass(seconds(5));
    add("new", 700, 0);
    receivers["new"].isBlocked = false;
    update(receivers["new"]);
    BOOST_TEST(budget.enforce(now).empty());
    BOOST_TEST(!budget.admits(now, 20 * Kilobyte));
}

/// Guards against callers that never read and thereby keep the node from serving others.
BOOST_AUTO_TEST_CASE(admits_budgetFullOfStalledAnswers_acceptsAndDropsThem)
{
    for (int n = 0; n < 4; ++n) {
        add("stalled" + std::to_string(n), 240, 0);
    }
    BOOST_TEST(!budget.admits(now, 200 * Kilobyte));
    pass(seconds(3));
    BOOST_TEST(budget.admits(now, 200 * Kilobyte));
    add("new", 200, 500'000);
    budget.enforce(now);
    BOOST_TEST(dropped.size() == 2U);
    BOOST_TEST(receivers.contains("new"));
}

BOOST_AUTO_TEST_CASE(admits_budgetFullOfAnswersThatProgress_refuses)
{
    add("one", 480, 40'000);
    add("two", 480, 40'000);
    pass(seconds(1));
    BOOST_TEST(!budget.admits(now, 200 * Kilobyte));
    BOOST_TEST(budget.admits(now, 10 * Kilobyte));
}

/// Receivers of random rates come and go: what is held stays within the budget after each drop, and none is dropped while a slower
/// one, judged by its true rate, is kept for as long.
BOOST_AUTO_TEST_CASE(load_randomReceivers_staysWithinTheBudgetAndKeepsTheFast)
{
    constexpr unsigned Seed = 3;
    BOOST_TEST_MESSAGE("seed " << Seed);
    std::minstd_rand random(Seed);
    std::uniform_int_distribution<unsigned> percent(0, 99);
    for (int n = 0; n < 400; ++n) {
        const bool isSlow = percent(random) < 50;
        add((isSlow ? "slow" : "fast") + std::to_string(n), 30 + percent(random), isSlow ? 1'000 : 200'000);
        pass(Step);
        if (budget.used() > budget.limit()) {
            budget.enforce(now);
        }
        BOOST_TEST(budget.used() <= budget.limit());
    }
    for (const auto &name : dropped) {
        BOOST_TEST(name.starts_with("slow"));
    }
    BOOST_TEST(dropped.size() > 100U);
}

BOOST_AUTO_TEST_CASE(bodies_exceedTheirShare_oldestUnfinishedAreDroppedAndAnswersStay)
{
    add("answer", 300, 0);
    for (const std::string name : {"a", "b", "c", "d", "e"}) {
        add(name, 100, 0, MemoryBudget::Holder::Body);
        now += milliseconds(1);
    }
    BOOST_TEST(exceeded == 0U);
    add("f", 100, 0, MemoryBudget::Holder::Body);
    BOOST_TEST(exceeded == 1U);
    budget.enforce(now);
    BOOST_TEST(dropped == (std::vector<std::string>{"a", "b"}), boost::test_tools::per_element());
    BOOST_TEST(budget.usedBy(MemoryBudget::Holder::Body) == 400 * Kilobyte);
    BOOST_TEST(budget.admits(now, 100 * Kilobyte));
}

BOOST_AUTO_TEST_CASE(bodies_exceedTheirShareAndSomeAreComplete_completeOnesStay)
{
    add("complete", 400, 0, MemoryBudget::Holder::Body);
    receivers["complete"].isBlocked = false;
    update(receivers["complete"]);
    now += milliseconds(1);
    add("unfinished", 200, 0, MemoryBudget::Holder::Body);
    budget.enforce(now);
    BOOST_TEST(dropped == (std::vector<std::string>{"unfinished"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(bodies_stalledAndArriving_stalledAreDroppedFirst)
{
    add("stalled", 100, 0, MemoryBudget::Holder::Body);
    pass(seconds(3));
    add("arriving", 350, 0, MemoryBudget::Holder::Body);
    add("next", 60, 0, MemoryBudget::Holder::Body);
    budget.enforce(now);
    BOOST_TEST(dropped == (std::vector<std::string>{"stalled"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
