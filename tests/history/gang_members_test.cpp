#include "tests/harness/job_deployment.h"
#include "tests/harness/job_history.h"
#include "tests/harness/wait.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kWorkerPoll{ 1000 };
/** A worker stops a task whose lease was not renewed for three polls. */
constexpr Milliseconds kMaxIncompleteTime =
  3 * kWorkerPoll + Milliseconds(2000);
constexpr Milliseconds kTimeout{ 30000 };
constexpr Milliseconds kShortRun{ 300 };
constexpr Milliseconds kLongRun{ 60000 };
constexpr int kOk = 200;

std::string
NumberedKey(const char* aPrefix, int aIndex)
{
  return aPrefix + std::to_string(aIndex);
}

/** Gangs whose members fail to start, to answer, to run or to stop. */
class GangMembersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GangMembersTest);
  CPPUNIT_TEST(MemberFailsToStart);
  CPPUNIT_TEST(StartTakesEffectAfterHolderGaveUp);
  CPPUNIT_TEST(WorkerAnswersAreLost);
  CPPUNIT_TEST(MemberFailsWhileRunning);
  CPPUNIT_TEST(WorkerFailsWhileGangRuns);
  CPPUNIT_TEST(ManyJobsAreCancelledWhileStopsAreLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void MemberFailsToStart() { RunBurstWithFaults(R"({"fail_starts":1})", 6); }

  /** The worker starts a member after the holder has timed out. */
  void StartTakesEffectAfterHolderGaveUp()
  {
    RunBurstWithFaults(R"({"slow_ms":1300})", 4);
  }

  void WorkerAnswersAreLost()
  {
    RunBurstWithFaults(R"({"lose_answers":1})", 4);
  }

  void MemberFailsWhileRunning()
  {
    JobDeployment deployment(6, 1, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    for (int worker = 0; worker < 6; ++worker) {
      deployment.SetWorkerFaults(worker, R"({"fail_running":1})");
    }
    CPPUNIT_ASSERT(history.Submit("t0", "a", 3, 8, kShortRun));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), deployment.State("t0", "a"));
    deployment.MarkPassed();
  }

  void WorkerFailsWhileGangRuns()
  {
    JobDeployment deployment(12, 1, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    CPPUNIT_ASSERT(history.Submit("t0", "a", 6, 8, Milliseconds(4000)));
    CPPUNIT_ASSERT(deployment.WaitForState("t0", "a", "running", kTimeout));
    const std::vector<TaskEvent> events = deployment.TaskEvents();
    CPPUNIT_ASSERT(!events.empty());
    const bool isFirstRack =
      events.front().worker <= deployment.WorkerAddress(5).Text();
    deployment.SetWorkerFaults(isFirstRack ? 2 : 8, R"({"dead":1})");
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), deployment.State("t0", "a"));
    deployment.MarkPassed();
  }

  void ManyJobsAreCancelledWhileStopsAreLate()
  {
    JobDeployment deployment(6, 2, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    for (int worker = 0; worker < 6; ++worker) {
      deployment.SetWorkerFaults(worker, R"({"late_stop_ms":1500})");
    }
    constexpr int kJobs = 12;
    for (int job = 0; job < kJobs; ++job) {
      CPPUNIT_ASSERT(
        history.Submit("t0", NumberedKey("c", job), 2, 4, kLongRun));
    }
    CPPUNIT_ASSERT(deployment.WaitForState("t0", "c0", "running", kTimeout));
    for (int job = 0; job < kJobs; ++job) {
      CPPUNIT_ASSERT_EQUAL(
        kOk, deployment.Cancel(job % 2, "t0", NumberedKey("c", job)));
    }
    // This job needs accelerators whose tasks are still being stopped.
    CPPUNIT_ASSERT(history.Submit("t1", "next", 6, 8, kShortRun));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                         deployment.State("t1", "next"));
    deployment.MarkPassed();
  }

private:
  /** Submits gangs while one worker of each rack has faults, then ends the
   * faults. */
  static void RunBurstWithFaults(const std::string& aFaults, int aJobs)
  {
    JobDeployment deployment(12, 1, kWorkerPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    deployment.SetWorkerFaults(1, aFaults);
    deployment.SetWorkerFaults(7, aFaults);
    for (int job = 0; job < aJobs; ++job) {
      CPPUNIT_ASSERT(history.Submit(
        "t" + std::to_string(job % 4), NumberedKey("b", job), 3, 8, kShortRun));
    }
    std::this_thread::sleep_for(3 * kWorkerPoll);
    deployment.SetWorkerFaults(1, "{}");
    deployment.SetWorkerFaults(7, "{}");
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangMembersTest);

}

}
