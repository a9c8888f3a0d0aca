#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_pass.h"
#include "zones/domain_state.h"
#include "zones/preemption_reservations.h"

#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>
#include <string>

namespace sardinecourse {

namespace {

constexpr std::int32_t kJobs = 100;
constexpr std::int32_t kUnits = 15'000;
constexpr Instant kNow{ std::chrono::hours(100) };
constexpr WallTime kWallNow{ std::chrono::hours(500'000) };
/** A tenth of the memory of the smallest host, for all jobs. */
constexpr std::size_t kMaxBytes = 16'000'000;

/** Bytes that the program has allocated. The address sanitizer replaces the
 * allocator, and the result is 0 under it. */
std::size_t
AllocatedBytes()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

JobPlanBuilder
OnceAMinute(WallTime aFirstDue)
{
  return JobPlanBuilder()
    .Steps({ Valid(QuarterStep(1)) })
    .Occurrences(kUnits)
    .IsTimed(true)
    .FirstDue(aFirstDue)
    .Interval(std::chrono::minutes(1));
}

AdmittedJob
WithPlan(std::int32_t aNumber, const JobPlanBuilder& aPlan)
{
  return Valid(AdmittedJobBuilder()
                 .Key(JobKey("00000000000000" + std::to_string(aNumber)))
                 .Queue(QueueName("queue"))
                 .Service(ServiceName("fretdesk"))
                 .MaxAttempts(3)
                 .Plan(Valid(aPlan)));
}

}

/** Checks that a job's memory follows its open work: what was never started
 * and what is done takes next to none. */
class TrackedJobMemoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TrackedJobMemoryTest);
  CPPUNIT_TEST(TimedJobsThatAreNotDueFitIntoMemory);
  CPPUNIT_TEST(TimedJobsThatAreOverdueFitIntoMemory);
  CPPUNIT_TEST(WideJobsThatWaitFitIntoMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  /** 100 accepted jobs of 15,000 occurrences took 354 MB in every host that
   * loaded them, and each was killed for it. */
  void TimedJobsThatAreNotDueFitIntoMemory()
  {
    this->AssertFit(OnceAMinute(kWallNow + std::chrono::hours(1)));
  }

  void TimedJobsThatAreOverdueFitIntoMemory()
  {
    this->AssertFit(OnceAMinute(WallTime()));
  }

  void WideJobsThatWaitFitIntoMemory()
  {
    this->AssertFit(JobPlanBuilder().Steps({ Valid(QuarterStep(kUnits)) }));
  }

private:
  /** Loads the jobs and runs passes. The worker has not answered yet, so that
   * all that is due waits. */
  void AssertFit(const JobPlanBuilder& aPlan)
  {
    const std::size_t before = AllocatedBytes();
    DomainState domain{ DomainTiming(), kNow, kNow };
    domain.ListWorker(MakeListing("w0", "r0"), kNow);
    PreemptionReservations reservations;
    for (std::int32_t job = 0; job < kJobs; ++job) {
      domain.AddJob(WithPlan(job + 10, aPlan), std::nullopt, 1, kNow);
    }
    for (int pass = 0; pass < 3; ++pass) {
      DomainPass(domain, reservations, kNow, kWallNow).Run();
    }
    CPPUNIT_ASSERT_LESS(before + kMaxBytes, AllocatedBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrackedJobMemoryTest);

}
