#include "scheduling/store_health.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant(Milliseconds(100'000 + aMs));
}

}

/** Guards against further submits to an unresponsive store. In incident
 * inkora-almaty inc-e381 a data centre was cut off without a sign, and its
 * hosts went on sending submits to the store. */
class StoreHealthTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreHealthTest);
  CPPUNIT_TEST(SlowStoreIsNotUnresponsive);
  CPPUNIT_TEST(UnansweredCallMarksStoreUnresponsive);
  CPPUNIT_TEST(UnresponsiveStoreIsRetriedAfterTimeout);
  CPPUNIT_TEST(ClosedConnectionDoesNotRefuseOtherCalls);
  CPPUNIT_TEST(CallLostWithItsConnectionLeavesStoreResponsive);
  CPPUNIT_TEST_SUITE_END();

public:
  void SlowStoreIsNotUnresponsive()
  {
    StoreHealth storeHealth;
    const std::uint64_t call = storeHealth.CallSent(At(0));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(600), At(-1)));
    storeHealth.CallCompleted(call, true, At(600));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(5000), At(-1)));
  }

  void UnansweredCallMarksStoreUnresponsive()
  {
    StoreHealth storeHealth;
    const std::uint64_t call = storeHealth.CallSent(At(0));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(1000), At(-1)));
    storeHealth.CallCompleted(call, false, At(1500));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(1600), At(-1)));
    storeHealth.CallCompleted(storeHealth.CallSent(At(1700)), true, At(1710));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(1720), At(-1)));
  }

  void UnresponsiveStoreIsRetriedAfterTimeout()
  {
    StoreHealth storeHealth;
    storeHealth.CallCompleted(storeHealth.CallSent(At(0)), false, At(1500));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(2600), At(-1)));
  }

  /** The store closes a connection just as a call is sent on it. All calls were
   * then refused for a second, although the store answers on others. */
  void ClosedConnectionDoesNotRefuseOtherCalls()
  {
    StoreHealth storeHealth;
    storeHealth.CallCompleted(storeHealth.CallSent(At(0)), false, At(5));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(10), At(-1)));
    storeHealth.CallCompleted(storeHealth.CallSent(At(20)), false, At(1520));
    storeHealth.CallCompleted(storeHealth.CallSent(At(1530)), false, At(1540));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(1550), At(-1)));
  }

  /** A thread whose open connection had gone silent refused its callers for a
   * second, while the store answered the other threads. */
  void CallLostWithItsConnectionLeavesStoreResponsive()
  {
    StoreHealth storeHealth;
    const std::uint64_t lost = storeHealth.CallSent(At(0));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(1100), At(-1)));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(1100), At(1)));
    storeHealth.CallCompleted(lost, false, At(1500));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(1600), At(-1)));
    CPPUNIT_ASSERT(!storeHealth.IsUnresponsive(At(1600), At(1)));
    const std::uint64_t next = storeHealth.CallSent(At(1700));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(2700), At(1)));
    storeHealth.CallCompleted(next, false, At(3200));
    CPPUNIT_ASSERT(storeHealth.IsUnresponsive(At(3300), At(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreHealthTest);

}
