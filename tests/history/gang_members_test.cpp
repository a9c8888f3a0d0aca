#include "tests/harness/job_deployment.h"
#include "tests/harness/job_history.h"
#include "tests/harness/wait.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPoll{ 1000 };
/** A worker stops what nobody renews after three polls. */
constexpr Milliseconds kBound = 3 * kPoll + Milliseconds(2000);
constexpr Milliseconds kTimeout{ 30000 };
constexpr Milliseconds kShortRun{ 300 };
constexpr Milliseconds kLongRun{ 60000 };
constexpr int kOk = 200;

std::string
Key(const char* aPrefix, int aIndex)
{
  return aPrefix + std::to_string(aIndex);
}

/** Gangs whose members fail in one way or another. */
class GangMembersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GangMembersTest);
  CPPUNIT_TEST(MemberFailsToStart);
  CPPUNIT_TEST(StartsAreLate);
  CPPUNIT_TEST(AnswersAreLost);
  CPPUNIT_TEST(MemberFailsWhileRunning);
  CPPUNIT_TEST(WorkerIsLost);
  CPPUNIT_TEST(CancelWaveWithLateStops);
  CPPUNIT_TEST_SUITE_END();

public:
  void MemberFailsToStart() { RunBurst(R"({"fail_starts":1})", 6); }

  /** A start that takes effect after the holder gave it up. */
  void StartsAreLate() { RunBurst(R"({"slow_ms":1300})", 4); }

  void AnswersAreLost() { RunBurst(R"({"lose_answers":1})", 4); }

  void MemberFailsWhileRunning()
  {
    JobDeployment deployment(6, 1, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    for (int worker = 0; worker < 6; ++worker) {
      deployment.WorkerFaults(worker, R"({"fail_running":1})");
    }
    CPPUNIT_ASSERT(history.Submit("t0", "a", 3, 8, kShortRun));
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), deployment.State("t0", "a"));
    deployment.Passed();
  }

  void WorkerIsLost()
  {
    JobDeployment deployment(12, 1, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    CPPUNIT_ASSERT(history.Submit("t0", "a", 6, 8, Milliseconds(4000)));
    CPPUNIT_ASSERT(deployment.WaitForState("t0", "a", "running", kTimeout));
    const std::vector<TaskEvent> events = deployment.Record();
    CPPUNIT_ASSERT(!events.empty());
    const bool isFirstRack =
      events.front().worker <= deployment.WorkerAddress(5).Text();
    deployment.WorkerFaults(isFirstRack ? 2 : 8, R"({"dead":1})");
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    CPPUNIT_ASSERT_EQUAL(std::string("finished"), deployment.State("t0", "a"));
    deployment.Passed();
  }

  void CancelWaveWithLateStops()
  {
    JobDeployment deployment(6, 2, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    for (int worker = 0; worker < 6; ++worker) {
      deployment.WorkerFaults(worker, R"({"late_stop_ms":1500})");
    }
    constexpr int kJobs = 12;
    for (int job = 0; job < kJobs; ++job) {
      CPPUNIT_ASSERT(history.Submit("t0", Key("c", job), 2, 4, kLongRun));
    }
    CPPUNIT_ASSERT(deployment.WaitForState("t0", "c0", "running", kTimeout));
    for (int job = 0; job < kJobs; ++job) {
      CPPUNIT_ASSERT_EQUAL(kOk,
                           deployment.Cancel(job % 2, "t0", Key("c", job)));
    }
    // What comes next needs the accelerators that are still being stopped.
    CPPUNIT_ASSERT(history.Submit("t1", "next", 6, 8, kShortRun));
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    CPPUNIT_ASSERT_EQUAL(std::string("finished"),
                         deployment.State("t1", "next"));
    deployment.Passed();
  }

private:
  /** Gangs in both racks while one worker of each has faults; then the faults
   * end. */
  static void RunBurst(const std::string& aFaults, int aJobs)
  {
    JobDeployment deployment(12, 1, kPoll);
    CPPUNIT_ASSERT(deployment.WaitReady());
    JobHistory history(deployment);
    deployment.WorkerFaults(1, aFaults);
    deployment.WorkerFaults(7, aFaults);
    for (int job = 0; job < aJobs; ++job) {
      CPPUNIT_ASSERT(history.Submit(
        "t" + std::to_string(job % 4), Key("b", job), 3, 8, kShortRun));
    }
    std::this_thread::sleep_for(3 * kPoll);
    deployment.WorkerFaults(1, "{}");
    deployment.WorkerFaults(7, "{}");
    CPPUNIT_ASSERT_EQUAL(std::string(), history.Settle(kTimeout, kBound));
    deployment.Passed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangMembersTest);

}

}
