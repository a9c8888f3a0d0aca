#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kWarmUp{ 1000 };
constexpr Milliseconds kAfter{ 2500 };
/** No new work so long after the first sign. */
constexpr Milliseconds kBound{ 3000 };
constexpr int kServiceUs = 2000;

std::int64_t
NowUs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}

/** A minion that is leaving receives no new work after three seconds. */
class LeavingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeavingTest);
  CPPUNIT_TEST(StopsAfterTheMinionsOwnWord);
  CPPUNIT_TEST(StopsAfterTheHostListWhichLags);
  CPPUNIT_TEST(StopsWhenOnlyAPeerSawTheSign);
  CPPUNIT_TEST_SUITE_END();

public:
  void StopsAfterTheMinionsOwnWord()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    History history;
    RequestCallers callers(fleet, history, CallerMix());
    std::this_thread::sleep_for(kWarmUp);
    const std::int64_t sign = NowUs();
    CPPUNIT_ASSERT(fleet.SetMinionFaults("m1", R"({"leaving": true})"));
    std::this_thread::sleep_for(kBound + kAfter);
    callers.Stop();
    Check(fleet, history, sign);
  }

  void StopsAfterTheHostListWhichLags()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    CPPUNIT_ASSERT(fleet.SetPlatformFaults(R"({"host_lag_ms": 5000})"));
    History history;
    RequestCallers callers(fleet, history, CallerMix());
    std::this_thread::sleep_for(kWarmUp);
    CPPUNIT_ASSERT(fleet.ListHost("m1", "leaving"));
    // The first sign is the list's, which shows it five seconds later.
    const std::int64_t sign = NowUs() + 5'000'000;
    std::this_thread::sleep_for(Milliseconds(5000) + kBound + kAfter);
    callers.Stop();
    Check(fleet, history, sign);
  }

  void StopsWhenOnlyAPeerSawTheSign()
  {
    // The first daemon takes all the load, so that it alone sees the sign; the
    // second then starts to route.
    RequestFleet fleet(2, 4, kServiceUs);
    History history;
    CPPUNIT_ASSERT(fleet.SetPlatformFaults(R"({"down": "refuse"})"));
    std::int64_t sign = 0;
    {
      CallerMix first;
      first.onlyHost = 0;
      RequestCallers callers(fleet, history, first);
      std::this_thread::sleep_for(kWarmUp);
      sign = NowUs();
      CPPUNIT_ASSERT(fleet.SetMinionFaults("m1", R"({"leaving": true})"));
      std::this_thread::sleep_for(kBound);
    }
    CallerMix second;
    second.onlyHost = 1;
    RequestCallers callers(fleet, history, second);
    std::this_thread::sleep_for(kAfter);
    callers.Stop();
    Check(fleet, history, sign);
  }

private:
  static void Check(RequestFleet& aFleet,
                    const History& aHistory,
                    std::int64_t aSignUs)
  {
    const auto executions = aFleet.Executions();
    const std::int64_t limitUs =
      std::chrono::duration_cast<std::chrono::microseconds>(kBound).count();
    int before = 0;
    int after = 0;
    int othersAfter = 0;
    std::int64_t last = 0;
    for (const Execution& execution : executions) {
      const bool isAfter = execution.startUs > aSignUs + limitUs;
      const bool isLeaving = execution.minion == "m1";
      before += isLeaving && !isAfter ? 1 : 0;
      after += isLeaving && isAfter ? 1 : 0;
      othersAfter += execution.minion != "m1" && isAfter ? 1 : 0;
      last = isLeaving ? std::max(last, execution.startUs) : last;
    }
    std::cerr << OutcomesText(aHistory.Operations())
              << "last work after the sign, ms: " << (last - aSignUs) / 1000
              << '\n';
    CPPUNIT_ASSERT(before > 50);
    CPPUNIT_ASSERT_EQUAL(0, after);
    CPPUNIT_ASSERT(othersAfter > 50);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AnswersRule(executions), aHistory));
    auto counts = CountOutcomes(aHistory.Operations());
    CPPUNIT_ASSERT_EQUAL(0, counts["post not-known"]);
    aFleet.Passed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

}
