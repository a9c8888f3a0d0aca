#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPhaseDuration{ 700 };
constexpr int kServiceUs = 3000;
constexpr int kSlowServiceUs = 50'000;

}

/** A request that is answered as not run was not run by any minion. */
class NotRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NotRunTest);
  CPPUNIT_TEST(NotRunIsCorrectWhenLinksAndDaemonsFail);
  CPPUNIT_TEST(NotRunIsCorrectUnderOverload);
  CPPUNIT_TEST_SUITE_END();

public:
  void NotRunIsCorrectWhenLinksAndDaemonsFail()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    CPPUNIT_ASSERT(fleet.SetMinionFaults(
      "all", R"({"drop_every": 9, "silent_every": 61, "close_every": 5})"));
    History history;
    CallerMix mix;
    mix.deadline = Milliseconds(800);
    RequestCallers callers(fleet, history, mix);
    std::this_thread::sleep_for(kPhaseDuration);
    fleet.MinionRelay(0).Set(RelayMode::kBlackholeOpen);
    fleet.MinionRelay(1).Set(RelayMode::kCut);
    std::this_thread::sleep_for(kPhaseDuration);
    fleet.MinionRelay(1).Set(RelayMode::kForward);
    fleet.Daemon(0).Kill();
    std::this_thread::sleep_for(kPhaseDuration);
    fleet.Restart(0);
    CPPUNIT_ASSERT(fleet.SetMinionFaults("m3", R"({"refuse": true})"));
    fleet.MinionRelay(3).Set(RelayMode::kBlackhole);
    std::this_thread::sleep_for(kPhaseDuration);
    fleet.Daemon(1).Signal(SIGSTOP);
    std::this_thread::sleep_for(2 * kPhaseDuration);
    fleet.Daemon(1).Signal(SIGCONT);
    fleet.MinionRelay(3).Set(RelayMode::kForward);
    std::this_thread::sleep_for(kPhaseDuration);
    callers.Stop();
    const auto counts = this->Check(fleet, history);
    CPPUNIT_ASSERT(counts.at("post not-known") > 0);
    CPPUNIT_ASSERT(counts.at("post done") > 100);
  }

  void NotRunIsCorrectUnderOverload()
  {
    // Two minions of eight slots run 320 requests a second at most.
    RequestFleet fleet(2, 2, kSlowServiceUs);
    History history;
    CallerMix mix;
    mix.callers = 64;
    mix.deadline = Milliseconds(120);
    RequestCallers callers(fleet, history, mix);
    std::this_thread::sleep_for(4 * kPhaseDuration);
    callers.Stop();
    const auto counts = this->Check(fleet, history);
    CPPUNIT_ASSERT(counts.at("post not-run") > 0);
    CPPUNIT_ASSERT(counts.at("post done") > 100);
  }

private:
  static std::map<std::string, int> Check(RequestFleet& aFleet,
                                          const History& aHistory)
  {
    // Lets executions in flight finish before the records are read.
    std::this_thread::sleep_for(kPhaseDuration);
    const auto operations = aHistory.Operations();
    const auto executions = aFleet.Executions();
    std::cerr << OutcomesText(operations) << '\n';
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(NotRunRule(executions), aHistory));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AnswersRule(executions), aHistory));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         CheckHistory(AtMostOnceRule(executions), aHistory));
    aFleet.MarkPassed();
    return CountOutcomes(operations);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTest);

}
