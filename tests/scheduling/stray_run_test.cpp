#include "contracts/running_task_builder.h"
#include "contracts/task_address_builder.h"
#include "contracts/worker_report_builder.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

/** Runs that a worker reports and that belong to no tracked job. */
class StrayRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StrayRunTest);
  CPPUNIT_TEST(WorkerWithRunOfUnknownJobIsNotOverfilled);
  CPPUNIT_TEST_SUITE_END();

public:
  // Failure: the state of a job is archived while a run of it goes on behind a
  // cut. The next holder can't tell what the run uses, counts it as nothing and
  // starts a task that needs the whole worker.
  void WorkerWithRunOfUnknownJobIsNotOverfilled()
  {
    DomainWorld world(1, 1);
    Report(world, true);
    world.Submit(
      MakeAdmitted("new", 0, { Valid(WholeWorkerGang(1)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, world.site.Starts());
    Report(world, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, world.site.Starts());
  }

private:
  /** Reports the run of a job that is not tracked, or its end. */
  static void Report(DomainWorld& aWorld, bool aIsRunning)
  {
    std::vector<RunningTask> running;
    if (aIsRunning) {
      running.push_back(Valid(
        RunningTaskBuilder()
          .Task(Valid(TaskAddressBuilder().Job(JobKey("archived")).Index(0)))
          .Run(2)));
    }
    aWorld.Domain().ApplyReport(
      WorkerName("w0"),
      Valid(WorkerReportBuilder()
              .Incarnation(aWorld.site.workers.at("w0").incarnation)
              .ClockMs(aWorld.site.workers.at("w0").ClockAt(aWorld.site.nowMs))
              .Running(std::move(running))),
      aWorld.Now(),
      aWorld.Now());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrayRunTest);

}
