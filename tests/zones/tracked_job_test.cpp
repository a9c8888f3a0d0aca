#include "zones/tracked_job.h"

#include "contracts/job_progress_builder.h"
#include "tests/scheduling/sample_jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

/** Two occurrences of three tasks and a gang that depends on them: units 0 to 2
 * and 3, then 4 to 6 and 7. */
AdmittedJob
SampleJob()
{
  const JobStep gang = Valid(WholeWorkerGang(2).After({ 0 }));
  return Valid(AdmittedJobBuilder()
                 .Key(JobKey("j"))
                 .Queue(QueueName("queue"))
                 .Service(ServiceName("fretdesk"))
                 .MaxAttempts(3)
                 .Plan(Valid(JobPlanBuilder()
                               .Steps({ Valid(QuarterStep(3)), gang })
                               .Occurrences(2))));
}

JobProgressBuilder
StoredProgress()
{
  return JobProgressBuilder()
    .Queue(QueueName("queue"))
    .State(JobState::kRunning)
    .Marks("DDs.D...")
    .FailedRuns({ { 0, 1 }, { 2, 1 }, { 2, 2 } })
    .Placements({ { 2, 3, "c", { WorkerName("w0") } } });
}

}

/** Checks that units keep their state whether they are objects or marks. */
class TrackedJobTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TrackedJobTest);
  CPPUNIT_TEST(ProgressOfEarlierVersionIsRestored);
  CPPUNIT_TEST(ReleasedUnitKeepsItsState);
  CPPUNIT_TEST(ProgressOutsideTheJobIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Earlier versions stored a mark for each unit and the failed runs of done
   * ones. What they stored must not run again. */
  void ProgressOfEarlierVersionIsRestored()
  {
    TrackedJob job(SampleJob(), Instant());
    job.Restore(Valid(StoredProgress()));
    for (const std::int32_t unit : { 0, 1, 4 }) {
      CPPUNIT_ASSERT(job.IsDone(unit));
    }
    CPPUNIT_ASSERT_EQUAL(2, job.FirstUnfinished());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, job.OpenUnits().size());
    const TaskUnit& open = job.OpenUnits().at(2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, open.Run());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, open.FailedRuns().size());
    CPPUNIT_ASSERT(!job.Idle());
    CPPUNIT_ASSERT(!job.AreDependenciesDone(0, 1));
    const JobProgress progress = job.Progress();
    CPPUNIT_ASSERT_EQUAL(std::string("DDs.D"), progress.Marks());
    TrackedJob next(SampleJob(), Instant());
    next.Restore(progress);
    CPPUNIT_ASSERT(progress == next.Progress());
  }

  void ReleasedUnitKeepsItsState()
  {
    TrackedJob job(SampleJob(), Instant());
    for (const std::int32_t number : { 0, 1, 2 }) {
      TaskUnit& unit = job.Open(number);
      unit.StartRun(1, {}, Instant());
      unit.MarkEverStarted();
      job.RecordEnd(unit, 1, RunOutcome::kDone, "");
    }
    job.Open(3).MarkEverStarted();
    job.Open(7);
    const JobProgress before = job.Progress();
    job.ReleaseUnits();
    CPPUNIT_ASSERT(job.OpenUnits().empty());
    CPPUNIT_ASSERT(before == job.Progress());
    CPPUNIT_ASSERT(job.AreDependenciesDone(0, 1));
    CPPUNIT_ASSERT(!job.AreDependenciesDone(1, 1));
    CPPUNIT_ASSERT(job.Open(2).Done());
    CPPUNIT_ASSERT(job.Open(3).EverStarted() && !job.Open(3).Done());
    CPPUNIT_ASSERT_EQUAL(2, job.Open(7).Count());
    CPPUNIT_ASSERT_EQUAL(7, job.NumberOf(job.Open(7)));
  }

  /** A row of another writer must not reach units that do not exist. */
  void ProgressOutsideTheJobIsIgnored()
  {
    TrackedJob job(SampleJob(), Instant());
    job.Restore(Valid(StoredProgress()
                        .Marks(std::string(20'000, 'D'))
                        .FailedRuns({ { -1, 1 }, { 8, 1 }, { 1 << 30, 1 } })
                        .Placements({ { -1, 1, "", {} }, { 8, 1, "", {} } })));
    CPPUNIT_ASSERT(job.OpenUnits().empty());
    CPPUNIT_ASSERT_EQUAL(job.UnitCount(), job.FirstUnfinished());
    CPPUNIT_ASSERT_EQUAL(std::string(8, 'D'), job.Progress().Marks());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrackedJobTest);

}
