#include "tests/load_patterns/model_file.h"
#include "tests/model/domain_model.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

ModelFigures
RunModel(const ModelSettings& aSettings, std::uint32_t aSeed)
{
  const std::vector<ModelJob> jobs = MakeJobStream(aSettings, aSeed);
  return DomainModel(aSettings, jobs, DomainPolicy(), aSeed).Run();
}

/** A tenth of the jobs of cmiw_bursts.yaml, without troubles or failing runs.
 */
ModelSettings
LowLoadModel()
{
  ModelSettings settings = ReadModel("cmiw_bursts.yaml");
  settings.troubles.clear();
  constexpr double kLoadShare = 0.1;
  for (ModelKind& kind : settings.kinds) {
    kind.arrivalsPerSecond *= kLoadShare;
    kind.poisonShare = 0.0;
    kind.failureShare = 0.0;
  }
  return settings;
}

}

/** Checks that the model counts credit by the rules of the users' test bench.
 */
class DomainModelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainModelTest);
  CPPUNIT_TEST(EveryJobFinishesAtLowLoad);
  CPPUNIT_TEST(SameSeedGivesSameFigures);
  CPPUNIT_TEST(WorkerRestartsIncreaseLostWork);
  CPPUNIT_TEST(SlowWorkersReduceWorth);
  CPPUNIT_TEST_SUITE_END();

public:
  void EveryJobFinishesAtLowLoad()
  {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      for (const auto& [name, kind] : RunModel(LowLoadModel(), seed).kinds) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          name, kind.countedJobs, kind.inTime + kind.late);
      }
    }
  }

  void SameSeedGivesSameFigures()
  {
    const ModelSettings settings = ReadModel("cmiw_bursts.yaml");
    CPPUNIT_ASSERT(RunModel(settings, 3) == RunModel(settings, 3));
  }

  void WorkerRestartsIncreaseLostWork()
  {
    ModelSettings settings = LowLoadModel();
    const double before = RunModel(settings, 2).lostCoreSeconds;
    for (int second = 5; second < 40; second += 5) {
      settings.troubles.push_back({ ModelTrouble::Kind::kRestart,
                                    Milliseconds(second * 1000),
                                    Milliseconds(0),
                                    "",
                                    1.0,
                                    1.0 });
    }
    CPPUNIT_ASSERT(RunModel(settings, 2).lostCoreSeconds > before);
  }

  void SlowWorkersReduceWorth()
  {
    ModelSettings settings = LowLoadModel();
    const double before = RunModel(settings, 2).worth;
    settings.troubles = { { ModelTrouble::Kind::kSlow,
                            Milliseconds(0),
                            settings.traffic,
                            "",
                            10.0,
                            1.0 } };
    CPPUNIT_ASSERT(RunModel(settings, 2).worth < before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainModelTest);

}
