#include "zones/quarantine.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace sardinecourse {

class QuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(FailuresQuarantineForLongerEachTime);
  CPPUNIT_TEST(CommonFaultDoesNotEmptyThePool);
  CPPUNIT_TEST_SUITE_END();

public:
  void FailuresQuarantineForLongerEachTime()
  {
    const WorkerHealth once = Worker(0).AfterFailure(kStart);
    CPPUNIT_ASSERT(!once.IsQuarantined(kStart));
    const WorkerHealth twice = once.AfterFailure(kStart);
    CPPUNIT_ASSERT(twice.IsQuarantined(kStart));
    CPPUNIT_ASSERT(!twice.IsQuarantined(kStart + std::chrono::minutes(1)));
    // A single failure after its return is enough, for twice as long.
    const Instant returned = kStart + std::chrono::minutes(1);
    const WorkerHealth again = twice.AfterFailure(returned);
    CPPUNIT_ASSERT(again.QuarantinedUntil() ==
                   returned + std::chrono::minutes(2));
    WorkerHealth hopeless = again;
    for (int failure = 0; failure < 100; ++failure) {
      hopeless = hopeless.AfterFailure(kStart);
    }
    CPPUNIT_ASSERT(hopeless.QuarantinedUntil() ==
                   kStart + std::chrono::minutes(64));
    CPPUNIT_ASSERT(again.AfterSuccess() == Worker(0));
  }

  void CommonFaultDoesNotEmptyThePool()
  {
    std::vector<WorkerHealth> all;
    all.reserve(8);
    for (int worker = 0; worker < 8; ++worker) {
      all.push_back(Worker(worker).AfterFailure(kStart).AfterFailure(kStart));
    }
    all[5] = all[5].AfterFailure(kStart);
    const std::vector<WorkerName> quarantined =
      SelectQuarantined(all, all.size(), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, quarantined.size());
    CPPUNIT_ASSERT(quarantined.front() == all[5].Worker());
    CPPUNIT_ASSERT(
      SelectQuarantined(all, all.size(), kStart + std::chrono::hours(1))
        .empty());
  }

private:
  static constexpr Instant kStart{ std::chrono::hours(1) };

  static WorkerHealth Worker(int aNumber)
  {
    return WorkerHealth(WorkerName("worker-" + std::to_string(aNumber)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}
