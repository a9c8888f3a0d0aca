#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kStep{ 700 };
constexpr int kServiceUs = 3000;
constexpr int kSlowServiceUs = 50'000;

}

/** When the system tells a caller that a request was not run, it was not. */
class NotRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NotRunTest);
  CPPUNIT_TEST(HoldsWhenLinksAndDaemonsFail);
  CPPUNIT_TEST(HoldsUnderOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  void HoldsWhenLinksAndDaemonsFail()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    CPPUNIT_ASSERT(fleet.SetMinionFaults(
      "all", R"({"drop_every": 9, "silent_every": 61, "close_every": 5})"));
    History history;
    CallerMix mix;
    mix.deadline = Milliseconds(800);
    RequestCallers callers(fleet, history, mix);
    std::this_thread::sleep_for(kStep);
    fleet.MinionRelay(0).Set(RelayMode::kSilentOld);
    fleet.MinionRelay(1).Set(RelayMode::kCut);
    std::this_thread::sleep_for(kStep);
    fleet.MinionRelay(1).Set(RelayMode::kPass);
    fleet.Daemon(0).Kill();
    std::this_thread::sleep_for(kStep);
    fleet.Restart(0);
    CPPUNIT_ASSERT(fleet.SetMinionFaults("m3", R"({"refuse": true})"));
    fleet.MinionRelay(3).Set(RelayMode::kSilent);
    std::this_thread::sleep_for(kStep);
    fleet.Daemon(1).Signal(SIGSTOP);
    std::this_thread::sleep_for(2 * kStep);
    fleet.Daemon(1).Signal(SIGCONT);
    fleet.MinionRelay(3).Set(RelayMode::kPass);
    std::this_thread::sleep_for(kStep);
    callers.Stop();
    const auto counts = this->Check(fleet, history);
    CPPUNIT_ASSERT(counts.at("post not-known") > 0);
    CPPUNIT_ASSERT(counts.at("post done") > 100);
  }

  void HoldsUnderOverload()
  {
    // Two minions of eight slots run 320 requests a second at most.
    RequestFleet fleet(2, 2, kSlowServiceUs);
    History history;
    CallerMix mix;
    mix.callers = 64;
    mix.deadline = Milliseconds(120);
    RequestCallers callers(fleet, history, mix);
    std::this_thread::sleep_for(4 * kStep);
    callers.Stop();
    const auto counts = this->Check(fleet, history);
    CPPUNIT_ASSERT(counts.at("post not-run") > 0);
    CPPUNIT_ASSERT(counts.at("post done") > 100);
  }

private:
  static std::map<std::string, int> Check(RequestFleet& aFleet,
                                          const History& aHistory)
  {
    // Runs under way at the end are over before the record is read.
    std::this_thread::sleep_for(kStep);
    const auto operations = aHistory.Operations();
    const auto executions = aFleet.Executions();
    std::cerr << OutcomesText(operations) << '\n';
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(NotRunRule(executions), aHistory));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AnswersRule(executions), aHistory));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AtMostOnceRule(executions), aHistory));
    aFleet.Passed();
    return CountOutcomes(operations);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTest);

}
