#include "contracts/domain_policy_builder.h"
#include "tests/load_patterns/model_file.h"
#include "tests/model/domain_model.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"
#include "tests/scheduling/sample_jobs.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <future>

namespace sardinecourse {

namespace {

constexpr std::uint32_t kSeeds = 20;

ModelFigures
RunModel(const ModelSettings& aSettings,
         DomainPolicy aPolicy,
         std::uint32_t aSeed)
{
  const std::vector<ModelJob> jobs = MakeJobStream(aSettings, aSeed);
  return DomainModel(aSettings, jobs, aPolicy, aSeed).Run();
}

/** Sums the possible and the earned credit of all jobs of a priority over all
 * seeds. */
KindFigures
SumCredit(const ModelSettings& aSettings,
          DomainPolicy aPolicy,
          std::int32_t aPriority)
{
  std::vector<std::future<ModelFigures>> runs;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    runs.push_back(std::async(
      std::launch::async, RunModel, std::cref(aSettings), aPolicy, seed));
  }
  KindFigures sum;
  for (std::future<ModelFigures>& pending : runs) {
    const ModelFigures run = pending.get();
    for (const ModelKind& kind : aSettings.kinds) {
      const auto found = run.kinds.find(kind.name);
      if (kind.priority == aPriority && found != run.kinds.end()) {
        sum.possibleCredit += found->second.possibleCredit;
        sum.credit += found->second.credit;
      }
    }
  }
  return sum;
}

}

/** Compares the default policy with the policy without one rule, on the same
 * jobs of the load pattern that the rule is for. Jobs of the priority concerned
 * must earn more credit with the rule. */
class PolicyPatternsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PolicyPatternsTest);
  CPPUNIT_TEST(HeadroomServesBurstOfUrgentGangs);
  CPPUNIT_TEST(BatchJobsAreNotStarvedByHeadroom);
  CPPUNIT_TEST(WideGangsWaitForOneRack);
  CPPUNIT_TEST(UrgentGangsWaitForOneRackWithinReclaimTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void HeadroomServesBurstOfUrgentGangs()
  {
    const DomainPolicy without =
      Valid(DomainPolicyBuilder().BatchHeadroom(0.0).Headroom(0.0));
    this->CheckBetter(without, 0);
  }

  /** Load pattern: urgent jobs fill the fleet so far that the headroom required
   * to start batch jobs is never free. */
  void BatchJobsAreNotStarvedByHeadroom()
  {
    this->CheckBetter(Valid(DomainPolicyBuilder().BatchWaitShare(1.0)), 2);
  }

  void WideGangsWaitForOneRack()
  {
    this->CheckBetter(Valid(DomainPolicyBuilder().LocalityWaitShare(0.0)), 1);
  }

  void UrgentGangsWaitForOneRackWithinReclaimTime()
  {
    this->CheckBetter(Valid(DomainPolicyBuilder().UrgentLocalityWaitShare(0.0)),
                      0);
  }

private:
  static void CheckBetter(DomainPolicy aWithout, std::int32_t aPriority)
  {
    for (const char* model : { "cmiw_bursts.yaml", "inkora_bursts.yaml" }) {
      const ModelSettings settings = ReadModel(model);
      const double with =
        SumCredit(settings, DomainPolicy(), aPriority).CreditShare();
      const double without =
        SumCredit(settings, aWithout, aPriority).CreditShare();
      CPPUNIT_ASSERT_MESSAGE(model, with > without);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyPatternsTest);

}
