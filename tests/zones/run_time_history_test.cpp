#include "zones/run_time_history.h"

#include "tests/zones/sample_values.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

class RunTimeHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RunTimeHistoryTest);
  CPPUNIT_TEST(ExpectsWhatThreeOfFourStayWithin);
  CPPUNIT_TEST(FallsBackToTheShapeAndThenToABound);
  CPPUNIT_TEST_SUITE_END();

public:
  void ExpectsWhatThreeOfFourStayWithin()
  {
    RunTimeHistory history;
    // Only the last 32 are remembered.
    for (int minutes = 1; minutes <= 64; ++minutes) {
      history = history.With(JobOf("one"), std::chrono::minutes(minutes));
    }
    CPPUNIT_ASSERT(history.Expected(JobOf("one")) == std::chrono::minutes(56));
  }

  void FallsBackToTheShapeAndThenToABound()
  {
    const RunTimeHistory empty;
    const RunTimeHistory history =
      empty.With(JobOf("one"), std::chrono::minutes(7));
    CPPUNIT_ASSERT(history.Expected(JobOf("two")) == std::chrono::minutes(7));
    CPPUNIT_ASSERT(empty.Expected(JobOf("two")) == std::chrono::hours(4));
  }

private:
  static Job JobOf(const std::string& aTeam)
  {
    return MakeWaiting(aTeam, "job", MakeShape(2, 4), Instant()).Request();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeHistoryTest);

}
