#include "tests/load_patterns/model_file.h"
#include "tests/model/domain_model.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace sardinecourse {

namespace {

constexpr std::uint32_t kSeeds = 8;

/** Runs the seeds and names the first job that waited although there was room;
 * empty when none did. */
std::string
FirstIdleWait(const ModelSettings& aSettings)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<ModelJob> jobs = MakeJobStream(aSettings, seed);
    const ModelFigures figures =
      DomainModel(aSettings, jobs, DomainPolicy(), seed).Run();
    if (!figures.idleWaits.empty()) {
      const IdleWait& wait = figures.idleWaits.front();
      return "seed " + std::to_string(seed) + ", " + wait.job.Text() +
             ", idle for " + std::to_string(wait.idle.count()) + " ms";
    }
  }
  return "";
}

}

/** After the last arrival no job may have nothing running for three seconds
 * while the fleet has room for it twice over and is less than half used. */
class IdleWaitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IdleWaitTest);
  CPPUNIT_TEST(NoJobWaitsBesideRoomAfterTheTraffic);
  CPPUNIT_TEST(NoJobWaitsBesideRoomAfterTakeover);
  CPPUNIT_TEST(NoJobWaitsBesideRoomAfterTakeoversInSeries);
  CPPUNIT_TEST(NoJobWaitsBesideRoomAfterItsWorkerLeftWithTheHolder);
  CPPUNIT_TEST_SUITE_END();

public:
  // Jobs waited for a rack or for headroom, by their declared run times.
  void NoJobWaitsBesideRoomAfterTheTraffic() { Check({}); }

  // The waits began anew with each holder, which knows no run times yet.
  void NoJobWaitsBesideRoomAfterTakeover()
  {
    ModelTrouble takeover;
    takeover.kind = ModelTrouble::Kind::kTakeover;
    takeover.start = Milliseconds(44'000);
    Check({ takeover });
  }

  // Each holder began the time without arrivals anew, after which room is no
  // longer kept for work to come.
  void NoJobWaitsBesideRoomAfterTakeoversInSeries()
  {
    std::vector<ModelTrouble> takeovers;
    for (const int start : { 42'000, 46'000, 50'000 }) {
      takeovers.emplace_back();
      takeovers.back().kind = ModelTrouble::Kind::kTakeover;
      takeovers.back().start = Milliseconds(start);
    }
    Check(takeovers);
  }

  // The wait for ample room came on top of that for the leases of the workers
  // that had left.
  void NoJobWaitsBesideRoomAfterItsWorkerLeftWithTheHolder()
  {
    ModelTrouble leave;
    leave.kind = ModelTrouble::Kind::kLeave;
    leave.start = Milliseconds(41'000);
    leave.share = 0.1;
    ModelTrouble takeover;
    takeover.kind = ModelTrouble::Kind::kTakeover;
    takeover.start = Milliseconds(44'000);
    Check({ leave, takeover });
  }

private:
  static void Check(const std::vector<ModelTrouble>& aTroubles)
  {
    for (const char* model : { "cmiw_bursts.yaml", "inkora_bursts.yaml" }) {
      ModelSettings settings = ReadModel(model);
      settings.troubles.insert(
        settings.troubles.end(), aTroubles.begin(), aTroubles.end());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        model, std::string(), FirstIdleWait(settings));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleWaitTest);

}
