#include "zones/pace/pace_preference_choice.h"

#include "contracts/admitted_job_builder.h"
#include "tests/scheduling/sample_jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr Milliseconds kNotWaited{ 0 };

AdmittedJob
MakeJob(double aStretch, Milliseconds aAllowance, std::vector<JobStep> aSteps)
{
  return Valid(AdmittedJobBuilder()
                 .Key(JobKey("job"))
                 .Queue(QueueName("queue"))
                 .Service(ServiceName("service"))
                 .MaxAttempts(1)
                 .Stretch(aStretch)
                 .Allowance(aAllowance)
                 .Plan(Valid(JobPlanBuilder().Steps(std::move(aSteps)))));
}

JobStep
MakeStep(Milliseconds aEstimate, std::vector<std::int32_t> aAfter = {})
{
  return Valid(
    JobStepBuilder().Count(2).Estimate(aEstimate).After(std::move(aAfter)));
}

}

/** Which units get fast workers while workers differ. */
class PacePreferenceChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacePreferenceChoiceTest);
  CPPUNIT_TEST(UrgentWorkWithLittleStretchGetsFastWorkers);
  CPPUNIT_TEST(BatchWorkWithSlackLeavesFastWorkersToOthers);
  CPPUNIT_TEST(BatchWorkThatHasWaitedLongGetsFastWorkers);
  CPPUNIT_TEST(WorkThatIsLateOnAnyWorkerLeavesFastWorkersToOthers);
  CPPUNIT_TEST(LastStepOfLateChainGetsFastWorkers);
  CPPUNIT_TEST_SUITE_END();

public:
  void UrgentWorkWithLittleStretchGetsFastWorkers()
  {
    for (const int estimateMs : { 1000, 2000, 8000 }) {
      const AdmittedJob job =
        MakeJob(1.5, Milliseconds(250), { MakeStep(Milliseconds(estimateMs)) });
      CPPUNIT_ASSERT(ChoosePacePreference(job, 0, kNotWaited) ==
                     PacePreference::kFast);
    }
  }

  void BatchWorkWithSlackLeavesFastWorkersToOthers()
  {
    const AdmittedJob job =
      MakeJob(3.0, Milliseconds(3000), { MakeStep(Milliseconds(5000)) });
    CPPUNIT_ASSERT(ChoosePacePreference(job, 0, kNotWaited) ==
                   PacePreference::kSlow);
  }

  void BatchWorkThatHasWaitedLongGetsFastWorkers()
  {
    const AdmittedJob job =
      MakeJob(3.0, Milliseconds(3000), { MakeStep(Milliseconds(5000)) });
    CPPUNIT_ASSERT(ChoosePacePreference(job, 0, Milliseconds(10'000)) ==
                   PacePreference::kFast);
  }

  // The objective is 18 s and a late job is worth something until 54 s.
  void WorkThatIsLateOnAnyWorkerLeavesFastWorkersToOthers()
  {
    const AdmittedJob job =
      MakeJob(3.0, Milliseconds(3000), { MakeStep(Milliseconds(5000)) });
    for (const int waitedMs : { 16'000, 53'000 }) {
      CPPUNIT_ASSERT(ChoosePacePreference(job, 0, Milliseconds(waitedMs)) ==
                     PacePreference::kSlow);
    }
  }

  void LastStepOfLateChainGetsFastWorkers()
  {
    const AdmittedJob job = MakeJob(
      3.0,
      Milliseconds(1000),
      { MakeStep(Milliseconds(2000)), MakeStep(Milliseconds(4000), { 0 }) });
    CPPUNIT_ASSERT(ChoosePacePreference(job, 0, kNotWaited) ==
                   PacePreference::kSlow);
    CPPUNIT_ASSERT(ChoosePacePreference(job, 1, Milliseconds(9000)) ==
                   PacePreference::kSlow);
    CPPUNIT_ASSERT(ChoosePacePreference(job, 1, Milliseconds(13'000)) ==
                   PacePreference::kFast);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacePreferenceChoiceTest);

}
