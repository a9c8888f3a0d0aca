#include "zones/quarantine.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace sardinecourse {

class QuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(RepeatedFailuresDoubleTheQuarantine);
  CPPUNIT_TEST(FailureOfAllWorkersQuarantinesAtMostAQuarter);
  CPPUNIT_TEST_SUITE_END();

public:
  void RepeatedFailuresDoubleTheQuarantine()
  {
    const WorkerHealth afterOne = Worker(0).AfterFailure(kStart);
    CPPUNIT_ASSERT(!afterOne.IsQuarantined(kStart));
    const WorkerHealth afterTwo = afterOne.AfterFailure(kStart);
    CPPUNIT_ASSERT(afterTwo.IsQuarantined(kStart));
    CPPUNIT_ASSERT(!afterTwo.IsQuarantined(kStart + std::chrono::minutes(1)));
    // After a quarantine, a single failure is enough for the next one, which is
    // twice as long.
    const Instant quarantineEnd = kStart + std::chrono::minutes(1);
    const WorkerHealth afterThree = afterTwo.AfterFailure(quarantineEnd);
    CPPUNIT_ASSERT(afterThree.QuarantinedUntil() ==
                   quarantineEnd + std::chrono::minutes(2));
    WorkerHealth alwaysFailing = afterThree;
    for (int failure = 0; failure < 100; ++failure) {
      alwaysFailing = alwaysFailing.AfterFailure(kStart);
    }
    CPPUNIT_ASSERT(alwaysFailing.QuarantinedUntil() ==
                   kStart + std::chrono::minutes(64));
    CPPUNIT_ASSERT(afterThree.AfterSuccess() == Worker(0));
  }

  void FailureOfAllWorkersQuarantinesAtMostAQuarter()
  {
    std::vector<WorkerHealth> health;
    health.reserve(8);
    for (int worker = 0; worker < 8; ++worker) {
      health.push_back(
        Worker(worker).AfterFailure(kStart).AfterFailure(kStart));
    }
    health[5] = health[5].AfterFailure(kStart);
    const std::vector<WorkerName> quarantined =
      SelectQuarantined(health, health.size(), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, quarantined.size());
    CPPUNIT_ASSERT(quarantined.front() == health[5].Worker());
    CPPUNIT_ASSERT(
      SelectQuarantined(health, health.size(), kStart + std::chrono::hours(1))
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
