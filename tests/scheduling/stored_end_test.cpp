#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
/** Time for the next holder to poll its workers and to start what waits. */
constexpr std::int64_t kStartMs = 1000;

/** Submits a job that fills one worker. */
void
SubmitWholeWorker(DomainWorld& aWorld,
                  const std::string& aKey,
                  std::int32_t aPriority,
                  std::int64_t aWorkMs)
{
  aWorld.Submit(MakeAdmitted(aKey, aPriority, { Valid(WholeWorkerGang(1)) }),
                aWorkMs,
                false);
}

TaskUnit&
UnitOf(DomainWorld& aWorld, const std::string& aKey)
{
  return aWorld.Domain().FindJob(JobKey(aKey))->Open(0);
}

/** Fills a fleet of two workers with the jobs "stopped" and "other"; returns
 * the name of the worker of "stopped". */
std::string
FillFleet(DomainWorld& aWorld, std::int64_t aOtherWorkMs)
{
  aWorld.PollAll();
  SubmitWholeWorker(aWorld, "stopped", 2, kLongMs);
  aWorld.RunFor(500);
  SubmitWholeWorker(aWorld, "other", 0, aOtherWorkMs);
  aWorld.RunFor(500);
  return UnitOf(aWorld, "stopped").Members().front().worker.Text();
}

/** Takes the worker of "stopped" away for a job that goes before it. */
void
Preempt(DomainWorld& aWorld)
{
  SubmitWholeWorker(aWorld, "urgent", 0, kLongMs);
  UnitOf(aWorld, "stopped").Abandon(StopCause::kPreempted);
}

/** Whether the job has started for the second time. */
bool
RunsAgain(DomainWorld& aWorld, const std::string& aKey)
{
  return UnitOf(aWorld, aKey).Run() == 2 && UnitOf(aWorld, aKey).AllRunning();
}

}

/** What the store holds of a run that has ended without being done. */
class StoredEndTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoredEndTest);
  CPPUNIT_TEST(StoppedRunIsNotWaitedForByTheNextHolder);
  CPPUNIT_TEST(GivenUpRunIsNotWaitedForByTheNextHolder);
  CPPUNIT_TEST(EndOfStoppedRunIsAcknowledgedAfterItIsStored);
  CPPUNIT_TEST_SUITE_END();

public:
  // Failure: a run is stopped and reported as ended. The worker that it was on
  // is lost later, and so is the holder. The next one loads the run as running
  // and waits for a lease on that worker, with room for the task elsewhere.
  void StoppedRunIsNotWaitedForByTheNextHolder()
  {
    for (const bool isReleased : { true, false }) {
      DomainWorld world(2, 1);
      const std::string lost = FillFleet(world, 4000);
      Preempt(world);
      world.RunFor(1500);
      CPPUNIT_ASSERT(UnitOf(world, "stopped").Idle());
      world.RemoveWorker(lost);
      world.Advance(3000);
      world.TakeOver(isReleased);
      world.RunFor(kStartMs);
      CPPUNIT_ASSERT(RunsAgain(world, "stopped"));
      CPPUNIT_ASSERT(world.site.Violations().empty());
    }
  }

  // Failure: as above, with a run that was given up since the leases on its
  // worker had expired, longer ago than their stored bound is kept.
  void GivenUpRunIsNotWaitedForByTheNextHolder()
  {
    DomainWorld world(2, 1);
    const std::string lost = FillFleet(world, 32'000);
    world.RemoveWorker(lost);
    world.RunFor(30'000);
    CPPUNIT_ASSERT(UnitOf(world, "stopped").Idle());
    world.TakeOver(false);
    world.RunFor(2000);
    CPPUNIT_ASSERT(RunsAgain(world, "stopped"));
  }

  // An end has to stay listed until the row that a next holder loads shows it.
  void EndOfStoppedRunIsAcknowledgedAfterItIsStored()
  {
    DomainWorld world(2, 1);
    const std::string worker = FillFleet(world, kLongMs);
    world.isStoreDown = true;
    Preempt(world);
    world.RunFor(1500);
    CPPUNIT_ASSERT(UnitOf(world, "stopped").Idle());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         world.site.workers.at(worker).ListedEnds().size());
    world.isStoreDown = false;
    world.RunFor(500);
    CPPUNIT_ASSERT(world.site.workers.at(worker).ListedEnds().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoredEndTest);

}
