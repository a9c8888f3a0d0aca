#include "tests/harness/job_deployment.h"
#include "tests/harness/job_history.h"
#include "tests/harness/wait.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>
#include <random>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPoll{ 2000 };
/** A part can go on until the next holder has read the workers. */
constexpr Milliseconds kBound = 3 * kPoll + Milliseconds(2000);
constexpr Milliseconds kTimeout{ 40000 };
constexpr Milliseconds kRecovery{ 10000 };
constexpr Milliseconds kRun{ 400 };

/** Holders that die or are paused while gangs are being started. */
class GangHolderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GangHolderTest);
  CPPUNIT_TEST(HolderIsKilledBetweenMembers);
  CPPUNIT_TEST(HolderIsFrozenForLongerThanItsLease);
  CPPUNIT_TEST(LostAnswersOfThePlatform);
  CPPUNIT_TEST(TaskLeasesLapse);
  CPPUNIT_TEST_SUITE_END();

public:
  void HolderIsKilledBetweenMembers()
  {
    JobDeployment deployment(12, 2, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    // Late answers of some workers spread the starts of one gang.
    Spread(deployment);
    const int holder = deployment.Holder();
    Burst(history, "a", 8);
    std::this_thread::sleep_for(RandomPause(600));
    const Instant killed = Clock::now();
    const std::size_t before = deployment.Record().size();
    deployment.Daemon(holder).Kill();
    // What was submitted before may all have been placed before.
    Burst(history, "after", 1);
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&deployment, before] {
      return HeldAtNextTerm(deployment, before);
    }));
    const auto recovery =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - killed);
    std::cerr << "recovery_ms=" << recovery.count() << '\n';
    CPPUNIT_ASSERT(recovery < kRecovery);
    deployment.Restart(holder);
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    deployment.Passed();
  }

  void HolderIsFrozenForLongerThanItsLease()
  {
    JobDeployment deployment(12, 2, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    Spread(deployment);
    const int holder = deployment.Holder();
    Burst(history, "a", 8);
    std::this_thread::sleep_for(RandomPause(600));
    deployment.Daemon(holder).Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&deployment, holder] {
      return deployment.Holder() != holder;
    }));
    std::this_thread::sleep_for(RandomPause(2000));
    deployment.Daemon(holder).Signal(SIGCONT);
    Burst(history, "b", 4);
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    deployment.Passed();
  }

  void LostAnswersOfThePlatform()
  {
    JobDeployment deployment(6, 2, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    for (int round = 0; round < 6; ++round) {
      deployment.PlatformFaults(R"({"lose_answers":2})");
      Burst(history, "r" + std::to_string(round), 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    deployment.Passed();
  }

  /** Nobody renews the leases of running tasks until they have lapsed. */
  void TaskLeasesLapse()
  {
    JobDeployment deployment(6, 1, Milliseconds(500));
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    CPPUNIT_ASSERT(history.Submit("t0", "a", 6, 8, Milliseconds(6000)));
    CPPUNIT_ASSERT(deployment.WaitForState("t0", "a", "running", kTimeout));
    deployment.Daemon(0).Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&deployment] {
      return deployment.Record().back().event == "lapsed";
    }));
    deployment.Daemon(0).Signal(SIGCONT);
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), deployment.State("t0", "a"));
    deployment.Passed();
  }

private:
  static Milliseconds RandomPause(unsigned aMaxMs)
  {
    static std::mt19937 random(Seed());
    return Milliseconds(random() % aMaxMs);
  }

  static void Spread(JobDeployment& aDeployment)
  {
    for (int worker = 0; worker < 12; worker += 2) {
      aDeployment.WorkerFaults(
        worker, R"({"slow_ms":)" + std::to_string(50 + 40 * worker) + "}");
    }
  }

  static void Burst(JobHistory& aHistory, const std::string& aKey, int aJobs)
  {
    for (int job = 0; job < aJobs; ++job) {
      CPPUNIT_ASSERT(aHistory.Submit(
        "t" + std::to_string(job % 4), aKey + std::to_string(job), 3, 4, kRun));
    }
  }

  /** True when a later holder than that of the first events has placed a gang.
   */
  static bool HeldAtNextTerm(JobDeployment& aDeployment, std::size_t aBefore)
  {
    const std::vector<TaskEvent> events = aDeployment.Record();
    for (std::size_t index = aBefore; index < events.size(); ++index) {
      if (events[index].event == "held" && events[index].term > 1) {
        return true;
      }
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangHolderTest);

}

}
