#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kWarmUp{ 1000 };
constexpr Milliseconds kObservationTime{ 2500 };
/** Time from the first notice of leaving until routing must have stopped. */
constexpr Milliseconds kMaxNoticeDelay{ 3000 };
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
  CPPUNIT_TEST(StopsRoutingAfterMinionReportsLeaving);
  CPPUNIT_TEST(StopsRoutingAfterDelayedHostListUpdate);
  CPPUNIT_TEST(StopsRoutingWhenOnlyAPeerReceivedTheNotice);
  CPPUNIT_TEST_SUITE_END();

public:
  void StopsRoutingAfterMinionReportsLeaving()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    History history;
    RequestCallers callers(fleet, history, CallerMix());
    std::this_thread::sleep_for(kWarmUp);
    const std::int64_t noticeUs = NowUs();
    CPPUNIT_ASSERT(fleet.SetMinionFaults("m1", R"({"leaving": true})"));
    std::this_thread::sleep_for(kMaxNoticeDelay + kObservationTime);
    callers.Stop();
    Check(fleet, history, noticeUs);
  }

  void StopsRoutingAfterDelayedHostListUpdate()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    CPPUNIT_ASSERT(fleet.SetPlatformFaults(R"({"host_lag_ms": 5000})"));
    History history;
    RequestCallers callers(fleet, history, CallerMix());
    std::this_thread::sleep_for(kWarmUp);
    CPPUNIT_ASSERT(fleet.ListHost("m1", "leaving"));
    // The first notice comes from the host list, which lags five seconds.
    const std::int64_t noticeUs = NowUs() + 5'000'000;
    std::this_thread::sleep_for(Milliseconds(5000) + kMaxNoticeDelay +
                                kObservationTime);
    callers.Stop();
    Check(fleet, history, noticeUs);
  }

  void StopsRoutingWhenOnlyAPeerReceivedTheNotice()
  {
    // The first daemon takes all the load, so only it receives the notice; the
    // second starts to route afterwards.
    RequestFleet fleet(2, 4, kServiceUs);
    History history;
    CPPUNIT_ASSERT(fleet.SetPlatformFaults(R"({"down": "refuse"})"));
    std::int64_t noticeUs = 0;
    {
      CallerMix first;
      first.onlyHost = 0;
      RequestCallers callers(fleet, history, first);
      std::this_thread::sleep_for(kWarmUp);
      noticeUs = NowUs();
      CPPUNIT_ASSERT(fleet.SetMinionFaults("m1", R"({"leaving": true})"));
      std::this_thread::sleep_for(kMaxNoticeDelay);
    }
    CallerMix second;
    second.onlyHost = 1;
    RequestCallers callers(fleet, history, second);
    std::this_thread::sleep_for(kObservationTime);
    callers.Stop();
    Check(fleet, history, noticeUs);
  }

private:
  static void Check(RequestFleet& aFleet,
                    const History& aHistory,
                    std::int64_t aNoticeUs)
  {
    const auto executions = aFleet.Executions();
    const std::int64_t limitUs =
      std::chrono::duration_cast<std::chrono::microseconds>(kMaxNoticeDelay)
        .count();
    int before = 0;
    int after = 0;
    int othersAfter = 0;
    std::int64_t lastUs = 0;
    for (const Execution& execution : executions) {
      const bool isAfter = execution.startUs > aNoticeUs + limitUs;
      const bool isLeaving = execution.minion == "m1";
      before += isLeaving && !isAfter ? 1 : 0;
      after += isLeaving && isAfter ? 1 : 0;
      othersAfter += execution.minion != "m1" && isAfter ? 1 : 0;
      lastUs = isLeaving ? std::max(lastUs, execution.startUs) : lastUs;
    }
    std::cerr << OutcomesText(aHistory.Operations())
              << "last work after the leaving notice, ms: "
              << (lastUs - aNoticeUs) / 1000 << '\n';
    CPPUNIT_ASSERT(before > 50);
    CPPUNIT_ASSERT_EQUAL(0, after);
    CPPUNIT_ASSERT(othersAfter > 50);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AnswersRule(executions), aHistory));
    auto counts = CountOutcomes(aHistory.Operations());
    CPPUNIT_ASSERT_EQUAL(0, counts["post not-known"]);
    aFleet.MarkPassed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

}
