#include "tests/load_patterns/model_file.h"
#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

/** Checks that job streams are reproducible by seed and follow their settings.
 */
class JobStreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobStreamTest);
  CPPUNIT_TEST(SameSeedGivesSameJobs);
  CPPUNIT_TEST(BurstAddsJobsOfItsKindOnly);
  CPPUNIT_TEST(InvalidModelIsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void SameSeedGivesSameJobs()
  {
    const ModelSettings settings = ReadModel("cmiw_bursts.yaml");
    const std::vector<ModelJob> jobs = MakeJobStream(settings, 7);
    CPPUNIT_ASSERT(!jobs.empty());
    CPPUNIT_ASSERT(jobs == MakeJobStream(settings, 7));
    CPPUNIT_ASSERT(jobs != MakeJobStream(settings, 8));
    CPPUNIT_ASSERT(std::ranges::is_sorted(jobs, {}, &ModelJob::arrival));
  }

  void BurstAddsJobsOfItsKindOnly()
  {
    ModelSettings settings = ReadModel("cmiw_bursts.yaml");
    settings.troubles = { { ModelTrouble::Kind::kBurst,
                            Milliseconds(10'000),
                            Milliseconds(10'000),
                            settings.kinds.front().name,
                            10.0,
                            0.0 } };
    std::vector<int> inside(settings.kinds.size());
    std::vector<int> before(settings.kinds.size());
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
      for (const ModelJob& job : MakeJobStream(settings, seed)) {
        const auto second = job.arrival / Milliseconds(10'000);
        inside[job.kind] += second == 1 ? 1 : 0;
        before[job.kind] += second == 0 ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(inside.front() > 5 * before.front());
    CPPUNIT_ASSERT(inside.back() < 2 * before.back());
  }

  void InvalidModelIsRejected()
  {
    const std::string jobs = "jobs: {a: {per_s: 1}}\n";
    const std::string policies = "policies: {today: {}}\n";
    Reason reason;
    CPPUNIT_ASSERT(DecodeModelSettings(jobs + policies, "f", reason));
    for (const std::string& wrong :
         { jobs,
           policies,
           jobs + "policies: {a: {headroom: 2}}\n",
           "jobs: {a: {gang_share: -1}}\n" + policies,
           "jobs: {a: {accelerators: 1 x}}\n" + policies,
           jobs + policies + "troubles: [{kind: flood}]\n" }) {
      CPPUNIT_ASSERT_MESSAGE(wrong, !DecodeModelSettings(wrong, "f", reason));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStreamTest);

}
