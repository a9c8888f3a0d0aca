#include "zones/leases/order_fence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

/** Which answers end the doubt about orders to an earlier incarnation. */
class OrderFenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrderFenceTest);
  CPPUNIT_TEST(FenceRisesOnceForEachRenewal);
  CPPUNIT_TEST(AnswerToRaisedPollEndsDoubt);
  CPPUNIT_TEST(AnswerToPollBeforeTheRaiseKeepsDoubt);
  CPPUNIT_TEST(SecondRestartRenewsDoubt);
  CPPUNIT_TEST_SUITE_END();

public:
  // Failure: a worker that is silent for hours uses up the fences of the term.
  void FenceRisesOnceForEachRenewal()
  {
    OrderFence fence;
    fence.Raise();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, fence.Current());
    fence.NoteRenewal();
    fence.Raise();
    fence.Raise();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, fence.Current());
  }

  void AnswerToRaisedPollEndsDoubt()
  {
    OrderFence fence;
    fence.NoteRenewal();
    fence.Raise();
    fence.NotePoll();
    CPPUNIT_ASSERT(fence.NoteAnswer(true));
    CPPUNIT_ASSERT(!fence.MayBeLate());
    CPPUNIT_ASSERT(!fence.NoteAnswer(false));
  }

  // Failure: the poll that shows the restart is taken for one that fences the
  // renewals sent with the same token.
  void AnswerToPollBeforeTheRaiseKeepsDoubt()
  {
    OrderFence fence;
    fence.NotePoll();
    fence.NoteRenewal();
    CPPUNIT_ASSERT(fence.NoteAnswer(true));
    CPPUNIT_ASSERT(fence.MayBeLate());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, fence.Current());
    fence.NotePoll();
    fence.NoteRenewal();
    CPPUNIT_ASSERT(fence.NoteAnswer(false));
    CPPUNIT_ASSERT(!fence.MayBeLate());
  }

  // Failure: a token that the former incarnation received is taken for one that
  // the next incarnation has received.
  void SecondRestartRenewsDoubt()
  {
    OrderFence fence;
    fence.NoteRenewal();
    fence.Raise();
    fence.NotePoll();
    fence.NoteAnswer(true);
    fence.NotePoll();
    CPPUNIT_ASSERT(fence.NoteAnswer(true));
    CPPUNIT_ASSERT(!fence.MayBeLate());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderFenceTest);

}
