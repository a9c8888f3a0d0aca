#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
constexpr std::int64_t kPassIntervalMs = 100;

/** A task that fills a worker. */
JobStepBuilder
WholeWorkerTask(Milliseconds aEstimate)
{
  return WholeWorkerGang(1).IsGang(false).Estimate(aEstimate);
}

/** Fills each worker with a run of a batch job of its own. */
void
FillWithBatch(DomainWorld& aWorld, const JobStepBuilder& aStep)
{
  aWorld.PollAll();
  for (const std::string& worker : aWorld.Workers()) {
    aWorld.Submit(
      MakeAdmitted("on-" + worker, 1, { Valid(aStep) }), kLongMs, false);
  }
  aWorld.Pass({});
}

void
SubmitUrgent(DomainWorld& aWorld,
             const std::string& aKey,
             Milliseconds aEstimate)
{
  aWorld.Submit(MakeAdmitted(aKey, 0, { Valid(WholeWorkerTask(aEstimate)) }),
                aEstimate.count(),
                false);
}

void
PollAndPass(DomainWorld& aWorld, std::int64_t aMs)
{
  for (std::int64_t passed = 0; passed < aMs; passed += kPassIntervalMs) {
    aWorld.PollAll();
    aWorld.Pass({});
    aWorld.Advance(kPassIntervalMs);
  }
}

/** Runs go on while the store does not answer, but nothing is decided. */
void
PollWithoutPass(DomainWorld& aWorld, std::int64_t aMs)
{
  for (std::int64_t passed = 0; passed < aMs; passed += kPassIntervalMs) {
    aWorld.Advance(kPassIntervalMs);
    aWorld.PollAll();
  }
}

std::int64_t
StoppedRuns(DomainWorld& aWorld)
{
  std::int64_t stopped = 0;
  for (auto& [key, job] : aWorld.Domain().Jobs()) {
    for (const auto& [number, unit] : job.OpenUnits()) {
      stopped += unit.AbandonedFor() == StopCause::kPreempted ? 1 : 0;
    }
  }
  return stopped;
}

bool
HasStarted(DomainWorld& aWorld, const std::string& aJob)
{
  return aWorld.Domain().FindJob(JobKey(aJob))->HasStarted();
}

}

/** Urgent jobs that arrive while other work fills the fleet: which runs are
 * stopped in their favour. */
class UrgentBurstTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UrgentBurstTest);
  CPPUNIT_TEST(JobsOfOneBurstGetRoomOfTheirOwn);
  CPPUNIT_TEST(NoRunIsStoppedForJobThatIsLateAnyway);
  CPPUNIT_TEST(GuaranteedJobThatIsLateStartsWithinReclaimTime);
  CPPUNIT_TEST_SUITE_END();

public:
  // Two jobs that arrived between two passes counted on the same stopped run,
  // reserved the same worker, and blocked each other until both reservations
  // expired.
  void JobsOfOneBurstGetRoomOfTheirOwn()
  {
    DomainWorld world(2, 2);
    FillWithBatch(world, QuarterStep(1).Need(MakeResources(64'000, 9'000, 0)));
    PollAndPass(world, 500);
    SubmitUrgent(world, "first", Milliseconds(1000));
    SubmitUrgent(world, "second", Milliseconds(1000));
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, StoppedRuns(world));
    constexpr std::int64_t kInTimeMs = 1500;
    PollAndPass(world, kInTimeMs);
    CPPUNIT_ASSERT(HasStarted(world, "first"));
    CPPUNIT_ASSERT(HasStarted(world, "second"));
  }

  // The store did not answer until the job could not be done within its
  // objective of 4 s any more. Only the work of the stopped run would be lost.
  void NoRunIsStoppedForJobThatIsLateAnyway()
  {
    DomainWorld world(1, 1);
    FillWithBatch(world,
                  WholeWorkerTask(Milliseconds(10'000)).IsCheckpointing(true));
    SubmitUrgent(world, "urgent", Milliseconds(1000));
    PollWithoutPass(world, 3000);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, StoppedRuns(world));
  }

  // A team has what it is guaranteed, in time for its callers or not.
  void GuaranteedJobThatIsLateStartsWithinReclaimTime()
  {
    DomainWorld world(1, 1);
    world.Domain().SetGuarantees({ { TeamName("luthiers"), 8 } });
    FillWithBatch(world, WholeWorkerTask(Milliseconds(10'000)));
    SubmitUrgent(world, "urgent", Milliseconds(1000));
    PollWithoutPass(world, 3000);
    PollAndPass(world, 1500);
    CPPUNIT_ASSERT(HasStarted(world, "urgent"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrgentBurstTest);

}
