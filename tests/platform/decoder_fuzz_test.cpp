#include "contracts/commit_answer.h"
#include "contracts/row_page.h"
#include "contracts/service_catalog.h"
#include "contracts/table_row_builder.h"
#include "contracts/worker_report.h"
#include "core/reason.h"
#include "machines/worker_listing.h"
#include "platform/catalog.h"
#include "platform/job_body.h"
#include "platform/registry.h"
#include "platform/report_json.h"
#include "platform/store_json.h"
#include "tests/codecs/message_mutator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse::platform {

/** Feeds damaged messages of the platform and of callers to the decoders. A
 * decoder must return without an exception, and give a reason when it refuses
 * the message. */
class PlatformDecoderFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformDecoderFuzzTest);
  CPPUNIT_TEST(DamagedConfigurationIsReadOrRefusedWithReason);
  CPPUNIT_TEST(DamagedWorkerEntryIsReadOrRefusedWithReason);
  CPPUNIT_TEST(DamagedJobBodyIsReadOrRefusedWithReason);
  CPPUNIT_TEST(DamagedReportIsReadOrRefusedWithReason);
  CPPUNIT_TEST(DamagedPageIsReadOrRefusedWithReason);
  CPPUNIT_TEST(DamagedCommitAnswerIsReadOrRefusedWithReason);
  CPPUNIT_TEST_SUITE_END();

public:
  void DamagedConfigurationIsReadOrRefusedWithReason()
  {
    const std::string sample = R"({"Version":7,"Routes":[{"Name":"r1",
      "Host":"a.example","PathPrefix":"/one/","Service":"s1","Priority":1,
      "MaxAttempts":3,"Stretch":3.0,"TargetDurationMs":1000,"Public":false}],
      "Tenants":[{"Name":"t1","ApiKeys":["k1"],"Guaranteed":{"Gpu":72}}]})";
    Check(
      "a configuration", sample, [](const std::string& aText, Reason& aReason) {
        return DecodeCatalog(Row("config", aText), aReason).has_value();
      });
  }

  void DamagedWorkerEntryIsReadOrRefusedWithReason()
  {
    const std::string sample =
      R"({"Service":"s1","Addr":"10.0.0.1:8080","Zone":"a","State":"ready",
      "Capacity":{"Cpu":64000,"MemMb":131072,"Gpu":8},"Labels":["a","r1-2"]})";
    Check("a worker's entry",
          sample,
          [](const std::string& aText, Reason& aReason) {
            return DecodeWorkerListing(Row("i-1", aText), aReason).has_value();
          });
  }

  void DamagedJobBodyIsReadOrRefusedWithReason()
  {
    const std::string sample =
      R"({"Spec":"text","Repeats":3,"FirstMs":1000,"IntervalMs":500,"Steps":[
      {"Count":4,"Cpu":500,"MemMb":256,"Affinity":"r1-3"},
      {"Count":2,"Gpu":8,"Gang":true,"SameRack":true,"DependsOn":[0],
       "AntiAffinity":1,"Requires":"a","Checkpointing":true}]})";
    Check("a job", sample, [](const std::string& aText, Reason& aReason) {
      return DecodeJobBody(aText, aReason).has_value();
    });
  }

  void DamagedReportIsReadOrRefusedWithReason()
  {
    const std::string sample =
      R"({"ClockMs":482113,"born":1700,"Running":[["j.0.1.17",2,"c",41]],
      "Ended":[[58,"j.0.1.9",1,"done",""]]})";
    Check("a report", sample, [](const std::string& aText, Reason& aReason) {
      return DecodeReport(aText, WallTime(), aReason).has_value();
    });
  }

  void DamagedPageIsReadOrRefusedWithReason()
  {
    const std::string sample =
      R"({"rows":[{"Table":"t","part":"","Key":"k","Value":"bm9kZS0x","Ver":4},
      {"Table":"t","part":"","Key":"gone","Ver":5,"Removed":true}],
      "HasMore":true,"Ver":530})";
    Check("a page", sample, [](const std::string& aText, Reason& aReason) {
      return DecodePage(aText, aReason).has_value();
    });
  }

  void DamagedCommitAnswerIsReadOrRefusedWithReason()
  {
    const std::string sample =
      R"({"rows":[{"Table":"t","part":"","Key":"k","Ver":4}],"Ver":530})";
    for (const bool isCommitted : { true, false }) {
      Check(
        "an answer",
        sample,
        [isCommitted](const std::string& aText, Reason& aReason) {
          return DecodeCommitAnswer(aText, isCommitted, aReason).has_value();
        });
    }
  }

private:
  static TableRow Row(const std::string& aKey, const std::string& aValue)
  {
    Reason reason;
    return *TableRowBuilder().Key(aKey).Value(aValue).Revision(41).Build(
      reason);
  }

  template<typename Decode>
  static void Check(const char* aDescription,
                    const std::string& aSample,
                    Decode aDecode)
  {
    const MessageMutator messages({ aSample });
    CPPUNIT_ASSERT(rc::check(aDescription, [&messages, &aDecode] {
      Reason reason;
      const bool isRead = aDecode(messages.Next(), reason);
      RC_ASSERT(isRead || !reason.Message().empty());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDecoderFuzzTest);

}
