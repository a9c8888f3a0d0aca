#include "contracts/domain_backlog_builder.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/refusals/refusal_decision.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

/** The objective of the sample jobs is three times their estimate of 1 s and
 * 1 s more; their callers give up after three times that. */
constexpr Milliseconds kObjective{ 4000 };
constexpr Milliseconds kLong{ 30'000 };

DomainBacklog
MakeBacklog(Milliseconds aWait)
{
  return Valid(DomainBacklogBuilder().Waits(
    { { { ServiceName("fretdesk"), 1 }, aWait } }));
}

AdmittedJob
MakeJob(std::int32_t aPriority, const std::string& aKey = "job")
{
  return MakeAdmitted(aKey, aPriority, { Valid(QuarterStep(1)) });
}

}

/** What is refused while far more is asked for than can be done. */
class RefusalDecisionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RefusalDecisionTest);
  CPPUNIT_TEST(JobThatCannotBeDoneForItsCallerIsRefused);
  CPPUNIT_TEST(LateJobOfUseToItsCallerIsTaken);
  CPPUNIT_TEST(UrgentOrEndlessJobIsTaken);
  CPPUNIT_TEST(JobIsTakenWithoutBacklog);
  CPPUNIT_TEST(CrowdComesBackOneAfterTheOther);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobThatCannotBeDoneForItsCallerIsRefused()
  {
    const auto retryAfter = RetryAfterBacklog(MakeJob(1), MakeBacklog(kLong));
    CPPUNIT_ASSERT(retryAfter.has_value());
    // By then the backlog leaves time for the job.
    CPPUNIT_ASSERT(*retryAfter >= kLong - kObjective);
  }

  void LateJobOfUseToItsCallerIsTaken()
  {
    CPPUNIT_ASSERT(!RetryAfterBacklog(MakeJob(1), MakeBacklog(2 * kObjective)));
  }

  void UrgentOrEndlessJobIsTaken()
  {
    CPPUNIT_ASSERT(!RetryAfterBacklog(MakeJob(0), MakeBacklog(kLong)));
    const AdmittedJob endless =
      MakeAdmitted("job", 1, { Valid(QuarterStep(1).IsEndless(true)) });
    CPPUNIT_ASSERT(!RetryAfterBacklog(endless, MakeBacklog(kLong)));
  }

  void JobIsTakenWithoutBacklog()
  {
    CPPUNIT_ASSERT(!RetryAfterBacklog(MakeJob(1), DomainBacklog()));
  }

  void CrowdComesBackOneAfterTheOther()
  {
    constexpr int kCallers = 200;
    std::vector<Milliseconds> returns;
    returns.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      returns.push_back(*RetryAfterBacklog(
        MakeJob(1, "job-" + std::to_string(caller)), MakeBacklog(kLong)));
    }
    std::sort(returns.begin(), returns.end());
    // No tenth of the time has more than a quarter of the callers.
    const Milliseconds tenth = (returns.back() - returns.front()) / 10;
    CPPUNIT_ASSERT(tenth > Milliseconds(1000));
    for (std::size_t first = 0; first + kCallers / 4 < returns.size();
         ++first) {
      CPPUNIT_ASSERT(returns[first + kCallers / 4] - returns[first] > tenth);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalDecisionTest);

}
