#include "tests/harness/job_deployment.h"
#include "tests/harness/job_history.h"
#include "tests/harness/wait.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kWorkerPoll{ 1000 };
constexpr Milliseconds kMaxIncompleteTime =
  3 * kWorkerPoll + Milliseconds(2000);
constexpr Milliseconds kTimeout{ 60000 };
/** Grace period for the checkpoint plus the time for the orders around it. */
constexpr Milliseconds kMaxReclaimTime{ 5800 };
constexpr Milliseconds kBorrowedRun{ 12000 };
constexpr Milliseconds kGuaranteedRun{ 500 };
constexpr int kWorkers = 12;

/** Teams claim their guaranteed shapes while the fleet is full of borrowed
 * work. */
class ReclaimHolderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReclaimHolderTest);
  CPPUNIT_TEST(TeamsReclaimAtTheSameTime);
  CPPUNIT_TEST(ReclaimsWhenWorkersIgnoreCheckpoints);
  CPPUNIT_TEST(HolderIsKilledDuringReclaim);
  CPPUNIT_TEST_SUITE_END();

public:
  void TeamsReclaimAtTheSameTime()
  {
    JobDeployment deployment(kWorkers, 1, kWorkerPoll);
    JobHistory history(deployment);
    FillWithBorrowedJobs(deployment, history);
    ClaimGuarantees(deployment, history, kMaxReclaimTime);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }

  void ReclaimsWhenWorkersIgnoreCheckpoints()
  {
    JobDeployment deployment(kWorkers, 1, kWorkerPoll);
    JobHistory history(deployment);
    FillWithBorrowedJobs(deployment, history);
    for (int worker = 0; worker < kWorkers; ++worker) {
      deployment.SetWorkerFaults(worker, R"({"ignore_checkpoint":1})");
    }
    ClaimGuarantees(deployment, history, kMaxReclaimTime);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }

  void HolderIsKilledDuringReclaim()
  {
    JobDeployment deployment(kWorkers, 2, kWorkerPoll);
    JobHistory history(deployment);
    FillWithBorrowedJobs(deployment, history);
    for (int worker = 0; worker < kWorkers; worker += 2) {
      deployment.SetWorkerFaults(worker, R"({"slow_ms":400})");
    }
    const int holder = deployment.Holder();
    for (int team = 1; team < 4; ++team) {
      CPPUNIT_ASSERT(history.Submit(
        "t" + std::to_string(team), "claim", 2, 8, kGuaranteedRun));
    }
    std::this_thread::sleep_for(Milliseconds(700));
    deployment.Daemon(holder).Kill();
    for (int team = 1; team < 4; ++team) {
      CPPUNIT_ASSERT(deployment.WaitForState(
        "t" + std::to_string(team), "claim", "finished", kTimeout));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         history.WaitAndCheck(kTimeout, kMaxIncompleteTime));
    deployment.MarkPassed();
  }

private:
  /** Team t0 occupies all accelerators. */
  static void FillWithBorrowedJobs(JobDeployment& aDeployment,
                                   JobHistory& aHistory)
  {
    CPPUNIT_ASSERT(aDeployment.WaitReady());
    for (int job = 0; job < kWorkers; ++job) {
      CPPUNIT_ASSERT(aHistory.Submit(
        "t0", "fill" + std::to_string(job), 1, 8, kBorrowedRun));
    }
    CPPUNIT_ASSERT(WaitUntil(kTimeout, [&aDeployment] {
      int released = 0;
      for (const TaskEvent& event : aDeployment.TaskEvents()) {
        released += event.event == "released" ? 1 : 0;
      }
      return released == kWorkers;
    }));
  }

  /** The other teams submit at the same time, and all their jobs start within
   * aBound. */
  static void ClaimGuarantees(JobDeployment& aDeployment,
                              JobHistory& aHistory,
                              Milliseconds aBound)
  {
    const Instant submitted = Clock::now();
    for (int team = 1; team < 4; ++team) {
      CPPUNIT_ASSERT(aHistory.Submit(
        "t" + std::to_string(team), "claim", 2, 8, kGuaranteedRun));
    }
    CPPUNIT_ASSERT(WaitUntil(aBound, [&aDeployment] {
      int released = 0;
      for (const TaskEvent& event : aDeployment.TaskEvents()) {
        released += event.event == "released" && event.job == "claim" ? 1 : 0;
      }
      return released == 6;
    }));
    const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - submitted);
    std::cerr << "reclaim_ms=" << elapsed.count() << '\n';
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReclaimHolderTest);

}

}
