#include "contracts/domain_timing_builder.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
/** Age of the first incarnation, whose clock is that far ahead of the next. */
constexpr std::int64_t kAgeMs = 60'000;
/** Exceeds every lease and delay. */
constexpr std::int64_t kWatchMs = 30'000;

/** The longest lease of a worker is twice the granted one. */
DomainTiming
LongLeaseTiming()
{
  return Valid(DomainTimingBuilder().WorkerLease(Milliseconds(10'000)));
}

/** Two workers of which "w1" is full for long, so that the next task is placed
 * on "w0". */
class RestartedWorker
{
public:
  RestartedWorker()
    : world(2, 2, LongLeaseTiming())
  {
    this->world.RunFor(kAgeMs);
    this->world.cutOff.insert("w0");
    this->world.PollAll();
    this->world.Submit(
      MakeAdmitted("other", 1, { Valid(WholeWorkerGang(1)) }), 8000, false);
    this->world.Pass({});
    this->world.cutOff.clear();
    this->world.PollAll();
    CPPUNIT_ASSERT(!this->Runs("w1").empty());
  }

  DomainWorld world;

  /** Orders a start on "w0" that is carried out 4 s later, by the next
   * incarnation, which has just started. */
  void StartOnNextIncarnation()
  {
    this->world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), kLongMs, false);
    this->world.Pass({ OrderFault::kLate });
    this->world.RestartWorker("w0", true);
    this->world.cutOff.insert("w0");
  }

  std::map<std::string, SiteRun>& Runs(const std::string& aWorker)
  {
    return this->world.site.workers.at(aWorker).Runs();
  }
};

}

/** Orders without an answer that a worker carries out after it has restarted
 * under its name, with a new clock. */
class RestartLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RestartLeaseTest);
  CPPUNIT_TEST(StartBeforeRestartBringsLongestLease);
  CPPUNIT_TEST(StartBeforeRestartIsLearnedOfByTheNextHolder);
  CPPUNIT_TEST(PollBeforeRestartBringsLongestLease);
  CPPUNIT_TEST(LateStartIsRefusedOnceTheRestartIsKnown);
  CPPUNIT_TEST(LatePollAcknowledgesNoEndOfTheNextIncarnation);
  CPPUNIT_TEST(OldWorkerKeepsTheGrantedLeaseAfterTakeover);
  CPPUNIT_TEST_SUITE_END();

public:
  // Failure: a start reaches the next incarnation behind a cut. Its deadline,
  // on the former clock, brings the longest lease, and the worker is cut off
  // again: the task runs twice.
  void StartBeforeRestartBringsLongestLease()
  {
    RestartedWorker restarted;
    restarted.StartOnNextIncarnation();
    restarted.world.Advance(4000);
    CPPUNIT_ASSERT(!restarted.Runs("w0").empty());
    restarted.world.cutOff.clear();
    restarted.world.PollAll();
    restarted.world.cutOff.insert("w0");
    restarted.world.RunFor(kWatchMs);
    CPPUNIT_ASSERT(!restarted.Runs("w1").empty());
    CheckNoViolation(restarted.world);
  }

  // Failure: as above, with a holder that is lost before it learns of the
  // restart. The next one takes the granted lease for the longest.
  void StartBeforeRestartIsLearnedOfByTheNextHolder()
  {
    RestartedWorker restarted;
    restarted.StartOnNextIncarnation();
    restarted.world.Advance(4000);
    restarted.world.TakeOver();
    restarted.world.cutOff.clear();
    restarted.world.PollAll();
    restarted.world.cutOff.insert("w0");
    restarted.world.RunFor(kWatchMs);
    CheckNoViolation(restarted.world);
  }

  // Failure: a poll to the former incarnation renews the lease of the next one
  // after a task was started on it.
  void PollBeforeRestartBringsLongestLease()
  {
    RestartedWorker restarted;
    DomainWorld& world = restarted.world;
    world.isHolderStalled = true;
    world.RestartWorker("w0");
    world.isHolderStalled = false;
    world.PollAll(); // Its deadline is on the former clock.
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), kLongMs, false);
    world.Pass({});
    CPPUNIT_ASSERT(!restarted.Runs("w0").empty());
    world.cutOff.insert("w0");
    world.RunFor(kWatchMs);
    CheckNoViolation(world);
  }

  // Failure: a start is carried out seconds late, after the holder has learned
  // of the restart and started the task elsewhere.
  void LateStartIsRefusedOnceTheRestartIsKnown()
  {
    RestartedWorker restarted;
    restarted.StartOnNextIncarnation();
    restarted.world.cutOff.clear();
    restarted.world.PollAll();
    restarted.world.cutOff.insert("w0");
    restarted.world.Advance(5000);
    CPPUNIT_ASSERT(restarted.Runs("w0").empty());
    restarted.world.RunFor(kWatchMs);
    CheckNoViolation(restarted.world);
  }

  // Failure: a late poll acknowledges, by the numbers of the former
  // incarnation, an end of the next one that no holder was shown, and the task
  // runs again.
  void LatePollAcknowledgesNoEndOfTheNextIncarnation()
  {
    RestartedWorker restarted;
    DomainWorld& world = restarted.world;
    world.Submit(
      MakeAdmitted("first", 1, { Valid(QuarterStep(1)) }), 500, false);
    world.RunFor(2000);
    world.Poll("w0", OrderFault::kLate);
    world.RestartWorker("w0", true);
    world.PollAll();
    world.Submit(
      MakeAdmitted("second", 1, { Valid(QuarterStep(1)) }), 500, false);
    world.Pass({});
    world.cutOff.insert("w0");
    world.Advance(5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         world.site.workers.at("w0").Ends().size());
  }

  // Failure: each takeover makes the runs on all workers wait for the longest
  // lease.
  void OldWorkerKeepsTheGrantedLeaseAfterTakeover()
  {
    DomainWorld world(2, 2, LongLeaseTiming());
    world.RunFor(kAgeMs);
    world.TakeOver();
    world.PollAll();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, world.Domain().LongLeases());
  }

private:
  static void CheckNoViolation(const DomainWorld& aWorld)
  {
    for (const std::string& violation : aWorld.site.Violations()) {
      CPPUNIT_FAIL(violation);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartLeaseTest);

}
