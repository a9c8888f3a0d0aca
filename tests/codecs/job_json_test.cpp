#include "codecs/job_json.h"
#include "contracts/job_builder.h"
#include "contracts/job_record_builder.h"
#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

JobRecord
MakeRecord(const std::string& aKey, JobState aState)
{
  Reason reason;
  const auto job = JobBuilder()
                     .Team(TeamName("schools"))
                     .Service(ServiceName("fretdesk"))
                     .Key(JobKey(aKey))
                     .Urgent(true)
                     .Build(reason);
  return JobRecordBuilder()
    .Request(job.value())
    .State(aState)
    .DataCentre(DataCentreName("east"))
    .Attempts(2)
    .Detail("why")
    .Build(reason)
    .value();
}

}

class JobJsonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobJsonTest);
  CPPUNIT_TEST(JobRecordsRoundTrip);
  CPPUNIT_TEST(TextThatIsNotAListOfRecordsIsRefused);
  CPPUNIT_TEST(MisspeltJobKeyIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobRecordsRoundTrip()
  {
    const std::vector<JobRecord> records = {
      MakeRecord("a", JobState::kRunning), MakeRecord("b", JobState::kFailed)
    };
    Reason reason;
    const auto decoded = DecodeJobRecords(EncodeJobRecords(records), reason);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(records == *decoded);
  }

  void TextThatIsNotAListOfRecordsIsRefused()
  {
    const std::string broken =
      R"([{"team":"schools","key":"a","state":"asleep"}])";
    for (const std::string& text :
         { std::string("{}"), std::string("[1]"), std::string("["), broken }) {
      Reason reason;
      CPPUNIT_ASSERT(!DecodeJobRecords(text, reason).has_value());
      CPPUNIT_ASSERT(reason.At() == Step::kDecode);
    }
  }

  void MisspeltJobKeyIsRefused()
  {
    Reason reason;
    const auto job =
      DecodeJob(R"({"team":"t","key":"k","acelerators":8})", reason);
    CPPUNIT_ASSERT(!job.has_value());
    CPPUNIT_ASSERT(reason.Text().find("acelerators") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobJsonTest);

}
