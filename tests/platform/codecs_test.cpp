#include "contracts/store_tables.h"
#include "contracts/table_check_builder.h"
#include "contracts/table_row_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/reason.h"
#include "platform/catalog.h"
#include "platform/evacuation.h"
#include "platform/ingress.h"
#include "platform/job_body.h"
#include "platform/registry.h"
#include "platform/report_json.h"
#include "platform/store_json.h"
#include "platform/task_name.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace sardinecourse::platform {

namespace {

TableRow
Row(const std::string& aKey, const std::string& aValue)
{
  Reason reason;
  return *TableRowBuilder().Key(aKey).Value(aValue).Revision(41).Build(reason);
}

constexpr const char* kConfiguration = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"a.example","PathPrefix":"/one/","Service":"s1",
   "Priority":1,"MaxAttempts":3,"Stretch":3.0,"TargetDurationMs":1000,
   "Public":false},
  {"Name":"r2","Host":"a.example","PathPrefix":"/one/more/","Service":"s2",
   "MaxAttempts":1}],
  "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Guaranteed":{"Gpu":72}}]})";

}

/** Checks that the platform's messages are decoded into the scheduler's types,
 * and that invalid ones are refused. */
class PlatformCodecsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformCodecsTest);
  CPPUNIT_TEST(TaskNameRoundTrips);
  CPPUNIT_TEST(MalformedTaskNameIsRefused);
  CPPUNIT_TEST(DecodesConfiguration);
  CPPUNIT_TEST(LongestPathPrefixSelectsTheQueue);
  CPPUNIT_TEST(DecodesWorkerEntry);
  CPPUNIT_TEST(InvalidWorkerEntryIsRefused);
  CPPUNIT_TEST(DecodesJobBody);
  CPPUNIT_TEST(InvalidJobBodyIsRefused);
  CPPUNIT_TEST(NumbersBeyondTheirRangeAreRefused);
  CPPUNIT_TEST(NumbersBeyondTheirRangeInReportAreBounded);
  CPPUNIT_TEST(DeadlineBeyondTheClockIsBounded);
  CPPUNIT_TEST(DecodesWorkerReport);
  CPPUNIT_TEST(ReportWithMostEndsIsTruncated);
  CPPUNIT_TEST(EncodesTransaction);
  CPPUNIT_TEST(LeaseHasAPartOfItsOwn);
  CPPUNIT_TEST(DecodesRowsAndRemovedKeys);
  CPPUNIT_TEST(LastChangeOfARowCounts);
  CPPUNIT_TEST(KeyNamesEvacuatedDataCentre);
  CPPUNIT_TEST(UnreadableValueHidesNoOtherRow);
  CPPUNIT_TEST(RetryAfterIsRoundedUpToSeconds);
  CPPUNIT_TEST_SUITE_END();

public:
  void TaskNameRoundTrips()
  {
    const auto task = ParseTaskName("5c0e7a21d94b36f8.2.1.17");
    CPPUNIT_ASSERT(task);
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8"), task->Job().Text());
    CPPUNIT_ASSERT_EQUAL(2, task->Occurrence());
    CPPUNIT_ASSERT_EQUAL(1, task->Step());
    CPPUNIT_ASSERT_EQUAL(17, task->Index());
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1.17"),
                         TaskNameText(*task));
  }

  void MalformedTaskNameIsRefused()
  {
    for (const char* text :
         { "", "a", "a.1.2", "a.1.2.3.4", "a.x.2.3", "a.1.2.-3", ".1.2.3" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseTaskName(text));
    }
  }

  void DecodesConfiguration()
  {
    Reason reason;
    const auto catalog = DecodeCatalog(Row("config", kConfiguration), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), catalog.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, catalog->Version());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 41 }, catalog->Revision());
    const JobQueue& queue = catalog->Queues().front();
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), queue.Service().Text());
    CPPUNIT_ASSERT_EQUAL(3, queue.MaxAttempts());
    CPPUNIT_ASSERT(Milliseconds(1000) == queue.Allowance());
    const TeamAccess* team = catalog->FindTeam("k2");
    CPPUNIT_ASSERT(team != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 72 }, team->Guaranteed());
    CPPUNIT_ASSERT(catalog->FindTeam("k3") == nullptr);
    CPPUNIT_ASSERT(catalog->FindTeam("") == nullptr);
  }

  void LongestPathPrefixSelectsTheQueue()
  {
    Reason reason;
    const auto catalog = DecodeCatalog(Row("config", kConfiguration), reason);
    CPPUNIT_ASSERT_EQUAL(
      std::string("r2"),
      catalog->FindQueue("a.example", "/one/more/7")->Name().Text());
    CPPUNIT_ASSERT_EQUAL(
      std::string("r1"),
      catalog->FindQueue("a.example", "/one/7")->Name().Text());
    CPPUNIT_ASSERT(catalog->FindQueue("b.example", "/one/7") == nullptr);
    CPPUNIT_ASSERT(catalog->FindQueue("a.example", "/two/7") == nullptr);
  }

  void DecodesWorkerEntry()
  {
    Reason reason;
    const auto worker = DecodeWorkerListing(
      Row("i-1", R"({"Service":"s1","Addr":"10.0.0.1:8080","Zone":"a",
        "State":"draining","RemainingMs":1700,
        "Capacity":{"Cpu":64000,"MemMb":131072,"Gpu":8},
        "Labels":["a","r1-2"],"ColdLeftMs":2500})"),
      reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), worker.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), worker->Name().Text());
    CPPUNIT_ASSERT_EQUAL(std::string("r1-2"), worker->Rack().Text());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, worker->Capacity().Accelerators());
    CPPUNIT_ASSERT(worker->IsLeaving());
    CPPUNIT_ASSERT(Milliseconds(2500) == worker->ColdLeft());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), worker->DataCentre().Text());
    CPPUNIT_ASSERT(Milliseconds(1700) == worker->TimeLeft());
  }

  void InvalidWorkerEntryIsRefused()
  {
    const std::string capacity = R"("Capacity":{"Cpu":1,"MemMb":1,"Gpu":1})";
    const std::vector<std::string> entries{
      "",
      "\xff\xfe",
      "[]",
      R"({"Service":"s1"})",
      R"({"Service":"s1","Addr":"10.0.0.1:8080","State":"ready"})",
      R"({"Service":"s1","Addr":"10.0.0.1:8080","State":"asleep",)" + capacity +
        "}",
      R"({"Service":7,"Addr":"10.0.0.1:8080","State":"ready",)" + capacity +
        "}",
      R"({"Service":"s1","Addr":12,"State":"ready",)" + capacity + "}",
    };
    for (const std::string& entry : entries) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(entry,
                             !DecodeWorkerListing(Row("i-1", entry), reason));
      CPPUNIT_ASSERT_MESSAGE(entry, !reason.Message().empty());
    }
  }

  void DecodesJobBody()
  {
    Reason reason;
    const auto plan = DecodeJobBody(
      R"({"Spec":"text","Repeats":3,"FirstMs":1000,"IntervalMs":500,"Steps":[
        {"Count":4,"Cpu":500,"MemMb":256,"Affinity":"r1-3"},
        {"Count":2,"Gpu":8,"Gang":true,"SameRack":true,"DependsOn":[0],
         "AntiAffinity":1,"Requires":"a","Checkpointing":true}]})",
      reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), plan.has_value());
    CPPUNIT_ASSERT_EQUAL(3, plan->Occurrences());
    CPPUNIT_ASSERT(plan->IsTimed());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 15 }, plan->UnitCount());
    const JobStep& gang = plan->Steps()[1];
    CPPUNIT_ASSERT(gang.IsGang() && gang.PrefersOneRack());
    CPPUNIT_ASSERT_EQUAL(1, gang.MaxTasksPerWorker());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), gang.Label());
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"),
                         plan->Steps()[0].DataRack().Text());
  }

  void InvalidJobBodyIsRefused()
  {
    for (const char* body :
         { "",
           "{}",
           R"({"Steps":[]})",
           R"({"Steps":[{"Count":0}]})",
           R"({"Steps":[{"Count":1,"DependsOn":[0]}]})",
           R"({"Steps":[{"Count":1},{"Count":1,"DependsOn":[1]}]})",
           R"({"Steps":[{"Count":1,"Cpu":-5}]})" }) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeJobBody(body, reason));
    }
  }

  /** A number that did not fit was replaced by another one: the job ran once
   * instead of 2^32 times, or a step depended on another step. */
  void NumbersBeyondTheirRangeAreRefused()
  {
    const std::vector<std::string> numbers{ "4294967296",
                                            "9223372036854775808",
                                            "18446744073709551615",
                                            "100000000000000000000",
                                            "1e300",
                                            "-1e300" };
    for (const std::string& number : numbers) {
      for (const char* field :
           { "Count", "AntiAffinity", "Cpu", "MemMb", "Gpu" }) {
        this->AssertRefused(R"({"Steps":[{")" + std::string(field) + R"(":)" +
                            number + "}]}");
      }
      this->AssertRefused(R"({"Steps":[{"Count":1},{"DependsOn":[)" + number +
                          "]}]}");
      this->AssertRefused(R"({"Repeats":)" + number + R"(,"Steps":[{}]})");
    }
    for (const char* number : { "9223372036854775808", "1e300", "-1e300" }) {
      for (const char* field : { "FirstMs", "IntervalMs" }) {
        this->AssertRefused(R"({"Repeats":2,")" + std::string(field) + R"(":)" +
                            number + R"(,"Steps":[{}]})");
      }
    }
  }

  /** Another writer's report must not make a number undefined. */
  void NumbersBeyondTheirRangeInReportAreBounded()
  {
    Reason reason;
    const auto report = DecodeReport(
      R"({"ClockMs":1,"born":1e300,"Running":[
        ["j.0.1.17",1e300,"c",1e300],["j.0.1.18",1,"c",4294967337]],
        "Ended":[[-1e300,"j.0.1.9",1,"done",""]]})",
      WallTime(),
      reason);
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, report->Running().size());
    for (const RunningTask& running : report->Running()) {
      CPPUNIT_ASSERT(running.Percent() >= 0 && running.Percent() <= 100);
    }
    // Leases are added to the clock, which must not overflow by it.
    for (const char* clock :
         { "9223372036854775807", "18446744073709551615" }) {
      CPPUNIT_ASSERT_MESSAGE(
        clock,
        !DecodeReport(
          R"({"ClockMs":)" + std::string(clock) + "}", WallTime(), reason));
    }
  }

  /** The caller's deadline overflowed to a time in the past. */
  void DeadlineBeyondTheClockIsBounded()
  {
    HttpRequest request;
    request.method = "GET";
    request.target = "/one/0123456789abcdef";
    request.fields.Add("X-Deadline-Remaining", "9223372036854775807");
    const Instant now = Clock::now();
    CPPUNIT_ASSERT(DecodeJobCall(request, now).deadline > now);
  }

  void ReportWithMostEndsIsTruncated()
  {
    for (const int ends : { 499, 500 }) {
      std::string rows;
      for (int end = 1; end <= ends; ++end) {
        rows += (end == 1 ? "[" : ",[") + std::to_string(end) +
                R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
      }
      Reason reason;
      const auto report =
        DecodeReport(R"({"ClockMs":1,"Running":[],"Ended":[)" + rows + "]}",
                     WallTime(),
                     reason);
      CPPUNIT_ASSERT(report.has_value());
      CPPUNIT_ASSERT_EQUAL(ends == 500, report->IsTruncated());
    }
  }

  void DecodesWorkerReport()
  {
    Reason reason;
    const auto report = DecodeReport(
      R"({"ClockMs":482113,"born":1700,"Running":[["j.0.1.17",2,"c",41]],
        "Ended":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",1,"odd",""]]})",
      WallTime(Milliseconds(2000)),
      reason);
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1700 }, report->Incarnation());
    CPPUNIT_ASSERT(report->Age() == Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 482113 }, report->ClockMs());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, report->Running().size());
    CPPUNIT_ASSERT_EQUAL(41, report->Running()[0].Percent());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, report->Ended().size());
    CPPUNIT_ASSERT(RunOutcome::kDone == report->Ended()[0].Outcome());
  }

  void EncodesTransaction()
  {
    Reason reason;
    const auto transaction =
      TableTransactionBuilder()
        .Checks({ *TableCheckBuilder().Table("t").Key("k").Revision(3).Build(
          reason) })
        .Writes(
          { *TableWriteBuilder().Table("t").Key("k").NewValue("node-1").Build(
              reason),
            *TableWriteBuilder().Table("u").Key("l").Build(reason) })
        .Build(reason);
    const auto body = nlohmann::json::parse(EncodeTransaction(*transaction));
    CPPUNIT_ASSERT_EQUAL(3, body["ExpectedRev"][0]["Ver"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"),
                         body["SetKeys"][0]["Value"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("u"),
                         body["Remove"][0]["Table"].get<std::string>());
  }

  /** The store executes the transactions of a part one after the other, and
   * refuses them when too many wait. A slow store that is full of submits must
   * still take renewals. */
  void LeaseHasAPartOfItsOwn()
  {
    Reason reason;
    const auto write = [&reason](const std::string& aTable) {
      return *TableWriteBuilder().Table(aTable).Key("k").NewValue("v").Build(
        reason);
    };
    const nlohmann::json renewal = nlohmann::json::parse(EncodeTransaction(
      *TableTransactionBuilder().Writes({ write(kLeaseTable) }).Build(reason)));
    CPPUNIT_ASSERT_EQUAL(std::string("lease"),
                         renewal["SetKeys"][0]["part"].get<std::string>());
    const auto page = DecodePage(
      R"({"rows":[{"Table":"lease","part":"lease","Key":"k","Value":"bm9kZS0x",
        "Ver":4},{"Table":"lease","part":"","Key":"k","Value":"bm9kZS0x",
        "Ver":5}],"Ver":5})",
      reason);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, page->Rows().size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, page->Rows()[0].Revision());
  }

  void DecodesRowsAndRemovedKeys()
  {
    Reason reason;
    const auto page = DecodePage(
      R"({"rows":[{"Table":"t","part":"","Key":"k","Value":"bm9kZS0x","Ver":4},
        {"Table":"t","part":"","Key":"gone","Ver":5,"Removed":true},
        {"Table":"t","part":"p","Key":"other","Value":"bm9kZS0x","Ver":6}],
        "HasMore":true,"Ver":530})",
      reason);
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, page->Rows().size());
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page->Rows()[0].Value());
    CPPUNIT_ASSERT_EQUAL(std::string("gone"), page->RemovedKeys()[0]);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 530 }, page->Revision());
    CPPUNIT_ASSERT(page->HasMore());
  }

  /** Taken apart from their order, the first two changes would open an
   * evacuated data centre again. */
  void LastChangeOfARowCounts()
  {
    Reason reason;
    const auto page = DecodePage(
      R"({"rows":[{"Table":"t","part":"","Key":"back","Ver":3,"Removed":true},
        {"Table":"t","part":"","Key":"back","Value":"","Ver":4},
        {"Table":"t","part":"","Key":"gone","Value":"","Ver":5},
        {"Table":"t","part":"","Key":"gone","Ver":6,"Removed":true}],
        "Ver":6})",
      reason);
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, page->Rows().size());
    CPPUNIT_ASSERT_EQUAL(std::string("back"), page->Rows()[0].Key());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, page->RemovedKeys().size());
    CPPUNIT_ASSERT_EQUAL(std::string("gone"), page->RemovedKeys()[0]);
  }

  void KeyNamesEvacuatedDataCentre()
  {
    CPPUNIT_ASSERT(EvacuatedDataCentre("evacuate/a-b") ==
                   DataCentreName("a-b"));
    for (const char* key :
         { "", "config", "evacuate", "evacuate/", "wave/1" }) {
      CPPUNIT_ASSERT_MESSAGE(key, !EvacuatedDataCentre(key));
    }
    CPPUNIT_ASSERT(kCatalogKey < kOperatorKeysEnd &&
                   "evacuate/\xff" < kOperatorKeysEnd);
  }

  /** Another writer's row may hold bytes that are not base64. A page that is
   * refused for it would be read again and again, and nothing would be
   * followed any more. */
  void UnreadableValueHidesNoOtherRow()
  {
    Reason reason;
    const auto page = DecodePage(
      R"({"rows":[{"Table":"t","part":"","Key":"a","Value":"*","Ver":4},
        {"Table":"t","part":"","Key":"b","Value":7,"Ver":5},
        {"Table":"t","part":"","Ver":6},{"Key":[]},[],null,
        {"Table":"t","part":"","Key":"k","Value":"bm9kZS0x","Ver":7}],
        "Ver":530})",
      reason);
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, page->Rows().size());
    CPPUNIT_ASSERT(!DecodeWorkerListing(page->Rows()[0], reason));
    CPPUNIT_ASSERT(!DecodeWorkerListing(page->Rows()[1], reason));
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page->Rows()[2].Value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 530 }, page->Revision());
  }

  void RetryAfterIsRoundedUpToSeconds()
  {
    JobReply reply;
    reply.kind = JobReply::Kind::kNotRun;
    reply.retryAfter = Milliseconds(1200);
    const HttpAnswer answer = EncodeJobReply(reply);
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         std::string(answer.fields.Find("Retry-After")));
    reply.kind = JobReply::Kind::kNotKnown;
    CPPUNIT_ASSERT_EQUAL(504, EncodeJobReply(reply).status);
  }

private:
  static void AssertRefused(const std::string& aBody)
  {
    Reason reason;
    CPPUNIT_ASSERT_MESSAGE(aBody, !DecodeJobBody(aBody, reason));
    CPPUNIT_ASSERT_MESSAGE(aBody, !reason.Message().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecsTest);

}
