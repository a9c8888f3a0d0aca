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
Play(const ModelSettings& aSettings, DomainPolicy aPolicy, std::uint32_t aSeed)
{
  const std::vector<ModelJob> jobs = MakeJobStream(aSettings, aSeed);
  return DomainModel(aSettings, jobs, aPolicy, aSeed).Run();
}

/** Jobs of a priority and the credit that they earned, over all seeds. */
KindFigures
Sum(const ModelSettings& aSettings,
    DomainPolicy aPolicy,
    std::int32_t aPriority)
{
  std::vector<std::future<ModelFigures>> plays;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    plays.push_back(std::async(
      std::launch::async, Play, std::cref(aSettings), aPolicy, seed));
  }
  KindFigures sum;
  for (std::future<ModelFigures>& play : plays) {
    const ModelFigures run = play.get();
    for (const ModelKind& kind : aSettings.kinds) {
      const auto found = run.kinds.find(kind.name);
      if (kind.priority == aPriority && found != run.kinds.end()) {
        sum.creditOwed += found->second.creditOwed;
        sum.credit += found->second.credit;
      }
    }
  }
  return sum;
}

}

/** Each pattern of load for which a rule of the holder is there, on the same
 * jobs with the rule and without it. */
class PolicyPatternsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PolicyPatternsTest);
  CPPUNIT_TEST(ABurstOfUrgentGangsFindsTheHeadroom);
  CPPUNIT_TEST(BatchJobsAreNotStarvedByTheHeadroom);
  CPPUNIT_TEST(WideGangsAreNotSpreadOverRacksTooSoon);
  CPPUNIT_TEST(UrgentGangsWaitForARackWithinTheirReclaimTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void ABurstOfUrgentGangsFindsTheHeadroom()
  {
    const DomainPolicy without =
      Valid(DomainPolicyBuilder().BatchHeadroom(0.0).Headroom(0.0));
    this->CheckBetter(without, 0);
  }

  /** The pattern: urgent jobs keep a fleet so full that batch work never finds
   * its headroom free. */
  void BatchJobsAreNotStarvedByTheHeadroom()
  {
    this->CheckBetter(Valid(DomainPolicyBuilder().BatchWaitShare(1.0)), 2);
  }

  void WideGangsAreNotSpreadOverRacksTooSoon()
  {
    this->CheckBetter(Valid(DomainPolicyBuilder().LocalityWaitShare(0.0)), 1);
  }

  void UrgentGangsWaitForARackWithinTheirReclaimTime()
  {
    this->CheckBetter(Valid(DomainPolicyBuilder().UrgentLocalityWaitShare(0.0)),
                      0);
  }

private:
  static void CheckBetter(DomainPolicy aWithout, std::int32_t aPriority)
  {
    for (const char* model : { "cmiw_bursts.yaml", "inkora_bursts.yaml" }) {
      const ModelSettings settings = ReadModel(model);
      const double with = Sum(settings, DomainPolicy(), aPriority).Share();
      const double without = Sum(settings, aWithout, aPriority).Share();
      CPPUNIT_ASSERT_MESSAGE(model, with > without);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyPatternsTest);

}
