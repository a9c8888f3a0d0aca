#include "core/stop_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

class StopBudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopBudgetTest);
  CPPUNIT_TEST(StepsOfStopOutlastGraceTime);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Steps with times of their own added up to more than the grace time. */
  void StepsOfStopOutlastGraceTime()
  {
    const Instant requested = Clock::now();
    for (const int graceMs : { 1, 100, 1000, 2500, 6000, 30'000, 3'600'000 }) {
      const Milliseconds grace(graceMs);
      const StopBudget budget(requested, grace);
      CPPUNIT_ASSERT(budget.Requested() <= budget.DrainStart());
      CPPUNIT_ASSERT(budget.DrainStart() <= budget.ReadEnd());
      CPPUNIT_ASSERT(budget.ReadEnd() <= budget.AnswerEnd());
      CPPUNIT_ASSERT(budget.AnswerEnd() <= budget.End());
      CPPUNIT_ASSERT(budget.End() <= requested + grace);
      CPPUNIT_ASSERT(budget.TimeLeft(budget.End()) == Milliseconds(0));
      CPPUNIT_ASSERT(budget.TimeLeft(requested + grace) == Milliseconds(0));
    }
    CPPUNIT_ASSERT(StopBudget(requested, Milliseconds(1)) <
                   StopBudget(requested, Milliseconds(2)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopBudgetTest);

}
