#include "zones/run_time_history.h"

#include "tests/zones/sample_values.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

class RunTimeHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RunTimeHistoryTest);
  CPPUNIT_TEST(ExpectedIsUpperQuartileOfLastRunTimes);
  CPPUNIT_TEST(UnknownTeamUsesShapeAndUnknownShapeUsesDefault);
  CPPUNIT_TEST_SUITE_END();

public:
  void ExpectedIsUpperQuartileOfLastRunTimes()
  {
    RunTimeHistory history;
    // Only the last 32 run times are kept.
    for (int minutes = 1; minutes <= 64; ++minutes) {
      history = history.With(MakeJob("one"), std::chrono::minutes(minutes));
    }
    CPPUNIT_ASSERT(history.Expected(MakeJob("one")) ==
                   std::chrono::minutes(56));
  }

  void UnknownTeamUsesShapeAndUnknownShapeUsesDefault()
  {
    const RunTimeHistory empty;
    const RunTimeHistory history =
      empty.With(MakeJob("one"), std::chrono::minutes(7));
    CPPUNIT_ASSERT(history.Expected(MakeJob("two")) == std::chrono::minutes(7));
    CPPUNIT_ASSERT(empty.Expected(MakeJob("two")) == std::chrono::hours(4));
  }

private:
  static Job MakeJob(const std::string& aTeam)
  {
    return MakeWaiting(aTeam, "job", MakeShape(2, 4), Instant()).Request();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeHistoryTest);

}
