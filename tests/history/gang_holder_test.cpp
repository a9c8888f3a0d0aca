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

constexpr Milliseconds kWorkerPoll{ 2000 };
/** Members of an incomplete gang may run until the next holder has polled the
 * workers. */
constexpr Milliseconds kMaxIncompleteTime =
  3 * kWorkerPoll + Milliseconds(2000);
constexpr Milliseconds kTimeout{ 40000 };
constexpr Milliseconds kMaxRecovery{ 10000 };
constexpr Milliseconds kRunTime{ 400 };

/** Holders that are killed or paused while gangs are being started. */
class GangHolderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GangHolderTest);
  CPPUNIT_TEST(HolderIsKilledBetweenMemberStarts);
  CPPUNIT_TEST(HolderIsPausedBeyondItsLease);
  CPPUNIT_TEST(PlatformAnswersAreLost);
  CPPUNIT_TEST(TaskLeasesExpire);
  CPPUNIT_TEST_SUITE_END();

public:
  void HolderIsKilledBetweenMemberStarts()
  {
    JobDeployment deployment(12, 2, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    // Slow workers spread the member starts of a gang over time.
    SlowDownAlternateWorkers(deployment);
    const int holder = deployment.Holder();
    SubmitBurst(history, "a", 8);
    std::this_thread::sleep_for(RandomPause(600));
    const Instant killed = Clock::now();
    const std::size_t firstEvent = deployment.TaskEvents().size();
    deployment.Daemon(holder).Kill();
    // A new job, because all earlier ones may have been placed already.
    SubmitBurst(history, "after", 1);
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&deployment, firstEvent] {
      return LaterHolderHasPlacedGang(deployment, firstEvent);
    }));
    const auto recovery =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - killed);
    std::cerr << "recovery_ms=" << recovery.count() << '\n';
    CPPUNIT_ASSERT(recovery < kMaxRecovery);
    deployment.Restart(holder);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }

  void HolderIsPausedBeyondItsLease()
  {
    JobDeployment deployment(12, 2, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    SlowDownAlternateWorkers(deployment);
    const int holder = deployment.Holder();
    SubmitBurst(history, "a", 8);
    std::this_thread::sleep_for(RandomPause(600));
    deployment.Daemon(holder).Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&deployment, holder] {
      return deployment.Holder() != holder;
    }));
    std::this_thread::sleep_for(RandomPause(2000));
    deployment.Daemon(holder).Signal(SIGCONT);
    SubmitBurst(history, "b", 4);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }

  void PlatformAnswersAreLost()
  {
    JobDeployment deployment(6, 2, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    for (int round = 0; round < 6; ++round) {
      deployment.SetPlatformFaults(R"({"lose_answers":2})");
      SubmitBurst(history, "r" + std::to_string(round), 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }

  /** The only daemon is paused until the leases of running tasks have expired.
   */
  void TaskLeasesExpire()
  {
    JobDeployment deployment(6, 1, Milliseconds(500));
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    CPPUNIT_ASSERT(history.Submit("t0", "a", 6, 8, Milliseconds(6000)));
    CPPUNIT_ASSERT(deployment.WaitForState("t0", "a", "running", kTimeout));
    deployment.Daemon(0).Signal(SIGSTOP);
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&deployment] {
      return deployment.TaskEvents().back().event == "lapsed";
    }));
    deployment.Daemon(0).Signal(SIGCONT);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), deployment.State("t0", "a"));
    deployment.MarkPassed();
  }

private:
  static Milliseconds RandomPause(unsigned aMaxMs)
  {
    static std::mt19937 random(Seed());
    return Milliseconds(random() % aMaxMs);
  }

  static void SlowDownAlternateWorkers(JobDeployment& aDeployment)
  {
    for (int worker = 0; worker < 12; worker += 2) {
      aDeployment.SetWorkerFaults(
        worker, R"({"slow_ms":)" + std::to_string(50 + 40 * worker) + "}");
    }
  }

  static void SubmitBurst(JobHistory& aHistory,
                          const std::string& aKey,
                          int aJobs)
  {
    for (int job = 0; job < aJobs; ++job) {
      CPPUNIT_ASSERT(aHistory.Submit("t" + std::to_string(job % 4),
                                     aKey + std::to_string(job),
                                     3,
                                     4,
                                     kRunTime));
    }
  }

  /** True when the events from aFirstEvent on show a member that was placed by
   * a holder with a term above 1. */
  static bool LaterHolderHasPlacedGang(JobDeployment& aDeployment,
                                       std::size_t aFirstEvent)
  {
    const std::vector<TaskEvent> events = aDeployment.TaskEvents();
    for (std::size_t index = aFirstEvent; index < events.size(); ++index) {
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
