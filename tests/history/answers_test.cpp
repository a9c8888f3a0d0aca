#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kLoadDuration{ 4000 };
constexpr int kServiceUs = 2000;
constexpr int kMinCompleted = 300;

}

/** Every caller receives the complete answer to its own request. */
class AnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AnswersTest);
  CPPUNIT_TEST(AnswersMatchRequestsDespiteStaleTruncatedOrLateReplies);
  CPPUNIT_TEST(AnswersMatchRequestsWhenAnotherMinionTakesTheAddress);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswersMatchRequestsDespiteStaleTruncatedOrLateReplies()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    CPPUNIT_ASSERT(fleet.SetMinionFaults(
      "all",
      R"({"stale_every": 7, "duplicate_every": 5, "truncate_every": 11,
          "late_every": 13, "late_ms": 700, "close_every": 17})"));
    CPPUNIT_ASSERT(fleet.SetMinionFaults("m2", R"({"mute": true})"));
    History history;
    CallerMix mix;
    mix.deadline = Milliseconds(500);
    RequestCallers callers(fleet, history, mix);
    std::this_thread::sleep_for(kLoadDuration);
    callers.Stop();
    this->Check(fleet, history);
  }

  void AnswersMatchRequestsWhenAnotherMinionTakesTheAddress()
  {
    RequestFleet fleet(2, 3, kServiceUs);
    History history;
    RequestCallers callers(fleet, history, CallerMix());
    std::this_thread::sleep_for(kLoadDuration / 4);
    CPPUNIT_ASSERT(fleet.SetMinionFaults("m1", R"({"name": "stranger"})"));
    std::this_thread::sleep_for(kLoadDuration / 4);
    callers.Stop();
    this->Check(fleet, history);
    for (const Execution& execution : fleet.Executions()) {
      // The minion reports all its executions, earlier ones included, under its
      // new name.
      CPPUNIT_ASSERT(execution.minion != "m1");
    }
  }

private:
  static void Check(RequestFleet& aFleet, const History& aHistory)
  {
    const auto operations = aHistory.Operations();
    const auto executions = aFleet.Executions();
    std::cerr << OutcomesText(operations) << '\n';
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AnswersRule(executions), aHistory));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(NotRunRule(executions), aHistory));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AtMostOnceRule(executions), aHistory));
    auto counts = CountOutcomes(operations);
    CPPUNIT_ASSERT(counts["put done"] + counts["post done"] > kMinCompleted);
    aFleet.MarkPassed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswersTest);

}
