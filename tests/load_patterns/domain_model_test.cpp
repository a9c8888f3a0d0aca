#include "tests/load_patterns/model_file.h"
#include "tests/model/domain_model.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

ModelFigures
Play(const ModelSettings& aSettings, std::uint32_t aSeed)
{
  const std::vector<ModelJob> jobs = MakeJobStream(aSettings, aSeed);
  return DomainModel(aSettings, jobs, DomainPolicy(), aSeed).Run();
}

/** A model with a tenth of its jobs, and no bursts. */
ModelSettings
CalmModel()
{
  ModelSettings settings = ReadModel("cmiw_bursts.yaml");
  settings.troubles.clear();
  constexpr double kCalm = 0.1;
  for (ModelKind& kind : settings.kinds) {
    kind.perSecond *= kCalm;
    kind.poisonShare = 0.0;
    kind.failureShare = 0.0;
  }
  return settings;
}

}

/** The model counts what the bench's page on credit says. */
class DomainModelTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainModelTest);
  CPPUNIT_TEST(ACalmFleetServesEveryJob);
  CPPUNIT_TEST(OneSeedAlwaysComesToTheSame);
  CPPUNIT_TEST(WorkersThatCrashThrowWorkAway);
  CPPUNIT_TEST(SlowWorkersMakeJobsLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void ACalmFleetServesEveryJob()
  {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      for (const auto& [name, kind] : Play(CalmModel(), seed).kinds) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, kind.owed, kind.inTime + kind.late);
      }
    }
  }

  void OneSeedAlwaysComesToTheSame()
  {
    const ModelSettings settings = ReadModel("cmiw_bursts.yaml");
    CPPUNIT_ASSERT(Play(settings, 3) == Play(settings, 3));
  }

  void WorkersThatCrashThrowWorkAway()
  {
    ModelSettings settings = CalmModel();
    const double before = Play(settings, 2).thrownAwayCoreSeconds;
    for (int second = 5; second < 40; second += 5) {
      settings.troubles.push_back({ ModelTrouble::Kind::kRestart,
                                    Milliseconds(second * 1000),
                                    Milliseconds(0),
                                    "",
                                    1.0,
                                    1.0 });
    }
    CPPUNIT_ASSERT(Play(settings, 2).thrownAwayCoreSeconds > before);
  }

  void SlowWorkersMakeJobsLate()
  {
    ModelSettings settings = CalmModel();
    const double before = Play(settings, 2).worth;
    settings.troubles = { { ModelTrouble::Kind::kSlow,
                            Milliseconds(0),
                            settings.traffic,
                            "",
                            10.0,
                            1.0 } };
    CPPUNIT_ASSERT(Play(settings, 2).worth < before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainModelTest);

}
