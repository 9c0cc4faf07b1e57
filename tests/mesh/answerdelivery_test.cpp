#include "mesh/answerdelivery.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr TimePoint Begin{seconds(100)};
constexpr std::uint64_t AnswerBytes = 1'000;

struct DeliveryFixture {
    AnswerDelivery delivery;

    void handOver(const std::string &requestId)
    {
        delivery.onHandedOver(Begin, AnswerBytes);
        delivery.onAnswerEnd(requestId);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerDeliveryTest, DeliveryFixture)

/// Guards against an answer that counts as delivered because the kernel has taken its last byte.
BOOST_AUTO_TEST_CASE(answer_allPassedToTheKernel_isNotDelivered)
{
    handOver("a");
    delivery.update(Begin, {0, 1});
    BOOST_TEST(!delivery.isDelivered());
    BOOST_TEST(delivery.undelivered().size() == 1U);
    delivery.update(Begin, {0, 0});
    BOOST_TEST(delivery.isDelivered());
    BOOST_TEST(delivery.undelivered().empty());
}

BOOST_AUTO_TEST_CASE(answers_firstIsAcknowledged_onlyTheSecondIsUndelivered)
{
    handOver("a");
    handOver("b");
    delivery.update(Begin, {AnswerBytes / 2, AnswerBytes / 4});
    BOOST_REQUIRE(delivery.undelivered().size() == 1U);
    BOOST_TEST(delivery.undelivered().front().requestId == "b");
    BOOST_TEST(delivery.undelivered().front().begin == AnswerBytes);
    BOOST_TEST(delivery.acknowledged() == AnswerBytes + AnswerBytes / 4);
}

/// Guards against a caller that is taken for stalled right after its answer was handed over, and against one that never is.
BOOST_AUTO_TEST_CASE(lastProgress_nothingIsAcknowledged_staysAtTheHandOver)
{
    handOver("a");
    delivery.update(Begin + seconds(1), {0, AnswerBytes});
    BOOST_TEST((delivery.lastProgressAt() == Begin));
    delivery.update(Begin + seconds(2), {0, AnswerBytes - 1});
    BOOST_TEST((delivery.lastProgressAt() == Begin + seconds(2)));
    delivery.update(Begin + seconds(3), {0, AnswerBytes - 1});
    BOOST_TEST((delivery.lastProgressAt() == Begin + seconds(2)));
}

/// The kernel counts the bytes of a FIN as unacknowledged too.
BOOST_AUTO_TEST_CASE(update_backlogExceedsWhatWasHandedOver_nothingIsAcknowledged)
{
    handOver("a");
    delivery.update(Begin, {0, AnswerBytes + 1});
    BOOST_TEST(delivery.acknowledged() == 0U);
    BOOST_TEST(!delivery.isDelivered());
}

BOOST_AUTO_TEST_SUITE_END()
