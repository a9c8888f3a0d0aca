#include "tests/scheduling/domain_world.h"
#include "zones/waits/idle_job_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;

/** Lets time pass with polls and passes, and returns what was to be logged. */
std::vector<IdleJob>
WatchFor(DomainWorld& aWorld, IdleJobWatch& aWatch, std::int64_t aMs)
{
  constexpr std::int64_t kStepMs = 100;
  std::vector<IdleJob> logged;
  for (std::int64_t left = aMs; left > 0; left -= kStepMs) {
    aWorld.Advance(kStepMs);
    aWorld.PollAll();
    aWorld.Pass({});
    for (IdleJob& idle : aWatch.Observe(aWorld.Domain(), aWorld.Now())) {
      logged.push_back(std::move(idle));
    }
  }
  return logged;
}

}

/** What the log says of jobs that have nothing running. */
class IdleJobWatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IdleJobWatchTest);
  CPPUNIT_TEST(WaitForLeaseNamesWorkerAndEnd);
  CPPUNIT_TEST(WaitForFullFleetIsLoggedOnceAndEndsWithStart);
  CPPUNIT_TEST(RunningJobIsNotLogged);
  CPPUNIT_TEST_SUITE_END();

public:
  void WaitForLeaseNamesWorkerAndEnd()
  {
    DomainWorld world(4, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("gang", 1, { Valid(WholeWorkerGang(2)) }), kLongMs, false);
    IdleJobWatch watch;
    CPPUNIT_ASSERT(WatchFor(world, watch, 1000).empty());
    const WorkerName lost =
      world.Domain().FindJob(JobKey("gang"))->Open(0).Members()[1].worker;
    world.cutOff.insert(lost.Text());
    const std::vector<IdleJob> logged = WatchFor(world, watch, 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, logged.size());
    CPPUNIT_ASSERT(logged[0].cause.reason == WaitReason::kWorkerLease);
    CPPUNIT_ASSERT(logged[0].cause.worker == lost);
    CPPUNIT_ASSERT(logged[0].cause.until > world.Now());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 },
                         watch.Counts().at(WaitReason::kWorkerLease));
  }

  void WaitForFullFleetIsLoggedOnceAndEndsWithStart()
  {
    DomainWorld world(2, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("first", 1, { Valid(WholeWorkerGang(2)) }), 8000, false);
    world.Pass({});
    world.Submit(
      MakeAdmitted("second", 1, { Valid(WholeWorkerGang(2)) }), kLongMs, false);
    IdleJobWatch watch;
    const std::vector<IdleJob> logged = WatchFor(world, watch, 7000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, logged.size());
    CPPUNIT_ASSERT(logged[0].job == JobKey("second"));
    CPPUNIT_ASSERT(logged[0].cause.reason == WaitReason::kNoRoom);
    CPPUNIT_ASSERT_EQUAL(std::int32_t{ 2 }, logged[0].cause.tasks);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, logged[0].fitting);
    CPPUNIT_ASSERT(watch.Longest() >= Milliseconds(6000));
    WatchFor(world, watch, 3000);
    CPPUNIT_ASSERT(watch.Counts().empty());
    CPPUNIT_ASSERT(watch.Longest() == Milliseconds(0));
  }

  void RunningJobIsNotLogged()
  {
    DomainWorld world(2, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("part", 1, { Valid(QuarterStep(20)) }), kLongMs, false);
    IdleJobWatch watch;
    CPPUNIT_ASSERT(WatchFor(world, watch, 5000).empty());
    CPPUNIT_ASSERT(watch.Counts().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobWatchTest);

}
