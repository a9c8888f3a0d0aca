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

/** The cut of a data centre that inkora-almaty inc-e381 shows: submits went on
 * to be sent to a store that had fallen silent. */
class StoreHealthTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreHealthTest);
  CPPUNIT_TEST(ASlowStoreIsNotSilent);
  CPPUNIT_TEST(ACallWithoutAnAnswerShowsSilence);
  CPPUNIT_TEST(SilenceIsTriedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void ASlowStoreIsNotSilent()
  {
    StoreHealth watch;
    const std::uint64_t call = watch.CallSent(At(0));
    CPPUNIT_ASSERT(!watch.IsUnresponsive(At(600)));
    watch.CallCompleted(call, true, At(600));
    CPPUNIT_ASSERT(!watch.IsUnresponsive(At(5000)));
  }

  void ACallWithoutAnAnswerShowsSilence()
  {
    StoreHealth watch;
    const std::uint64_t call = watch.CallSent(At(0));
    CPPUNIT_ASSERT(watch.IsUnresponsive(At(1000)));
    watch.CallCompleted(call, false, At(1500));
    CPPUNIT_ASSERT(watch.IsUnresponsive(At(1600)));
    watch.CallCompleted(watch.CallSent(At(1700)), true, At(1710));
    CPPUNIT_ASSERT(!watch.IsUnresponsive(At(1720)));
  }

  void SilenceIsTriedAgain()
  {
    StoreHealth watch;
    watch.CallCompleted(watch.CallSent(At(0)), false, At(1500));
    CPPUNIT_ASSERT(!watch.IsUnresponsive(At(2600)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreHealthTest);

}
