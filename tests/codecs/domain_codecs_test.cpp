#include "codecs/admitted_job_json.h"
#include "codecs/base64.h"
#include "codecs/domain_host_settings_yaml.h"
#include "codecs/domain_owner_json.h"
#include "codecs/job_progress_json.h"
#include "codecs/pace_records_text.h"
#include "codecs/pending_json.h"
#include "contracts/domain_owner_builder.h"
#include "contracts/job_progress_builder.h"
#include "core/reason.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/pace/pace_records.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

const std::string kHost = "name: a\n"
                          "data_centre: east\n"
                          "callers: 127.0.0.1:1\n"
                          "readiness: 127.0.0.1:2\n"
                          "metrics: 127.0.0.1:3\n"
                          "store: 127.0.0.1:4\n";

}

/** Stored rows of a scheduling domain must decode to the encoded value, and
 * invalid settings of its host must be refused. */
class DomainCodecsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainCodecsTest);
  CPPUNIT_TEST(AdmittedJobRoundTrips);
  CPPUNIT_TEST(JobOfEarlierVersionHasNoDataCentre);
  CPPUNIT_TEST(JobProgressRoundTrips);
  CPPUNIT_TEST(ProgressRowsRoundTripWithinTheirLimit);
  CPPUNIT_TEST(ProgressOfEarlierVersionsIsRead);
  CPPUNIT_TEST(DomainOwnerRoundTrips);
  CPPUNIT_TEST(PendingCountRoundTrips);
  CPPUNIT_TEST(StoredPacesRoundTripWithinAFewKilobytes);
  CPPUNIT_TEST(InvalidStoredPacesAreRefused);
  CPPUNIT_TEST(Base64RoundTripsAndRefusesInvalidText);
  CPPUNIT_TEST(TextOfAnotherFormIsRefused);
  CPPUNIT_TEST(EvacuateTimeMayBeEmpty);
  CPPUNIT_TEST(InvalidHostSettingsAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void StoredPacesRoundTripWithinAFewKilobytes()
  {
    constexpr int kWorkers = 970;
    constexpr std::size_t kMaxBytes = 6000;
    PaceRecords records;
    for (int worker = 0; worker < kWorkers; ++worker) {
      records.Add(
        WorkerName("w" + std::to_string(worker)), worker, worker % 5 - 2.0);
    }
    const std::string text = EncodePaceRecords(records);
    CPPUNIT_ASSERT(text.size() <= kMaxBytes);
    Reason reason;
    const auto read = DecodePaceRecords(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), read.has_value());
    CPPUNIT_ASSERT(records == *read);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      -1.0, read->Find(WorkerName("w6"), 6).value(), 0.01);
    CPPUNIT_ASSERT(!read->Find(WorkerName("w6"), 7));
  }

  void InvalidStoredPacesAreRefused()
  {
    Reason reason;
    CPPUNIT_ASSERT(DecodePaceRecords("", reason));
    for (const std::string& text :
         { std::string("AAAAA"),
           std::string("AAAAA!"),
           std::string("{\"a\":1}"),
           std::string(std::size_t{ 6 } * 100'000, 'A') }) {
      CPPUNIT_ASSERT(!DecodePaceRecords(text, reason));
    }
  }

  void JobOfEarlierVersionHasNoDataCentre()
  {
    Reason reason;
    const AdmittedJob job = MakeAdmitted("job", 1, { Valid(QuarterStep(1)) });
    const std::string text = EncodeAdmittedJob(job);
    CPPUNIT_ASSERT(text.find("data_centre") == std::string::npos);
    const auto read = DecodeAdmittedJob(text, reason);
    CPPUNIT_ASSERT(read.has_value() && read->DataCentre().Empty());
  }

  void AdmittedJobRoundTrips()
  {
    const AdmittedJob job = MakeAdmitted(
      "j",
      1,
      { Valid(QuarterStep(3).Label("a").MaxTasksPerWorker(2).DataRack(
          RackName("r1"))),
        Valid(WholeWorkerGang(4).After({ 0 }).PrefersOneRack(true)) });
    Reason reason;
    const auto read = DecodeAdmittedJob(EncodeAdmittedJob(job), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), read.has_value());
    CPPUNIT_ASSERT(job == *read);
  }

  void JobProgressRoundTrips()
  {
    const JobProgress progress =
      Valid(JobProgressBuilder()
              .Queue(QueueName("q"))
              .Address(QueueAddress("a/q/"))
              .State(JobState::kRunning)
              .Marks("s.D")
              .FailedRuns({ FailedRun{ 0, 1 } })
              .Placements({ UnitPlacement{
                0, 2, "saved", { WorkerName("w1"), WorkerName("w2") } } }));
    Reason reason;
    const auto read = DecodeJobProgress(EncodeJobProgress(progress), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), read.has_value());
    CPPUNIT_ASSERT(progress == *read);
  }

  /** A gang of 1,000 members on workers with long names exceeds one row. */
  void ProgressRowsRoundTripWithinTheirLimit()
  {
    constexpr std::size_t kMaxBytes = 49'152;
    std::vector<UnitPlacement> placements;
    std::vector<FailedRun> failed;
    for (std::int32_t unit = 0; unit < 3; ++unit) {
      UnitPlacement placement{ unit, unit + 2, "saved", {} };
      for (int worker = 0; worker < 1000; ++worker) {
        placement.workers.emplace_back(std::string(150, 'w') +
                                       std::to_string(worker));
      }
      placements.push_back(placement);
      failed.push_back(FailedRun{ unit, 1 });
      failed.push_back(FailedRun{ unit, 7 });
    }
    const auto make = [&](std::int32_t aRows) {
      return Valid(JobProgressBuilder()
                     .Queue(QueueName("q"))
                     .Address(QueueAddress("a/q/"))
                     .State(JobState::kRunning)
                     .Marks("sss")
                     .FailedRuns(failed)
                     .Placements(placements)
                     .Rows(aRows));
    };
    std::vector<std::string> rows = EncodeProgressRows(make(1), kMaxBytes);
    CPPUNIT_ASSERT(rows.size() > 1);
    for (const std::string& row : rows) {
      CPPUNIT_ASSERT(row.size() <= kMaxBytes);
    }
    Reason reason;
    const auto read = DecodeProgressRows(rows, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), read.has_value());
    CPPUNIT_ASSERT(make(static_cast<std::int32_t>(rows.size())) == *read);
    rows.pop_back();
    CPPUNIT_ASSERT(!DecodeProgressRows(rows, reason));
  }

  void ProgressOfEarlierVersionsIsRead()
  {
    Reason reason;
    const auto read = DecodeJobProgress(
      R"({"queue":"q","state":"running","marks":"s","failed":[{"unit":0,)"
      R"("run":1}],"placements":[{"unit":0,"run":2,"saved":"c",)"
      R"("workers":["w1"]}]})",
      reason);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(Valid(JobProgressBuilder()
                           .Queue(QueueName("q"))
                           .State(JobState::kRunning)
                           .Marks("s")
                           .FailedRuns({ FailedRun{ 0, 1 } })
                           .Placements({ UnitPlacement{
                             0, 2, "c", { WorkerName("w1") } } })) == *read);
  }

  void DomainOwnerRoundTrips()
  {
    const DomainOwner owner = Valid(DomainOwnerBuilder()
                                      .Host(HostName("a"))
                                      .Process("p")
                                      .Term(3)
                                      .Renewal(7)
                                      .IsReleased(true));
    Reason reason;
    const auto read = DecodeDomainOwner(EncodeDomainOwner(owner), reason);
    CPPUNIT_ASSERT(read && owner == *read);
  }

  void PendingCountRoundTrips()
  {
    const std::string text = EncodePending({ { QueueName("q"), 4 } });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 },
                         DecodePending(text, QueueName("q")));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 },
                         DecodePending(text, QueueName("r")));
  }

  void Base64RoundTripsAndRefusesInvalidText()
  {
    for (const std::string& bytes : { std::string(),
                                      std::string("a"),
                                      std::string("node-1"),
                                      std::string("\0\xff\x7f", 3) }) {
      CPPUNIT_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("bm9kZS0x"), EncodeBase64("node-1"));
    CPPUNIT_ASSERT(!DecodeBase64("bm9"));
    CPPUNIT_ASSERT(!DecodeBase64("b*9k"));
  }

  void TextOfAnotherFormIsRefused()
  {
    for (const char* text : { "", "[]", "{}", "nonsense" }) {
      Reason reason;
      CPPUNIT_ASSERT(!DecodeAdmittedJob(text, reason));
      CPPUNIT_ASSERT(!DecodeJobProgress(text, reason));
      CPPUNIT_ASSERT(!DecodeDomainOwner(text, reason));
    }
  }

  /** A platform without a bound for evacuations leaves the value empty. */
  void EvacuateTimeMayBeEmpty()
  {
    Reason reason;
    for (const char* empty : { "", "timing:\n  evacuate_ms: \n" }) {
      const auto host = DecodeDomainHostSettings(kHost + empty, "f", reason);
      CPPUNIT_ASSERT_MESSAGE(reason.Message(), host.has_value());
      CPPUNIT_ASSERT(!host->Timing().EvacuateTime());
    }
    const auto host = DecodeDomainHostSettings(
      kHost + "timing:\n  evacuate_ms: 5000\n", "f", reason);
    CPPUNIT_ASSERT(Milliseconds(5000) == host->Timing().EvacuateTime());
  }

  void InvalidHostSettingsAreRefused()
  {
    Reason reason;
    CPPUNIT_ASSERT(IsDomainHostSettings(kHost));
    CPPUNIT_ASSERT(!IsDomainHostSettings("name: a\n"));
    const auto host = DecodeDomainHostSettings(
      kHost + "core_share: 0.25\ngrace_s: 4.5\n"
              "timing: {worker_lease_ms: 10000, restart_s: 14.5}\n"
              "policy: {headroom: 0.15, use_pace: true}\n"
              "limits: {memory_mb: 120, descriptors: 3075, request_s: 20}\n",
      "f",
      reason);
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), host.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, host->ShareOfCore(), 0.0);
    CPPUNIT_ASSERT(Milliseconds(4500) == host->GraceTime());
    CPPUNIT_ASSERT(Milliseconds(10000) == host->Timing().WorkerLease());
    CPPUNIT_ASSERT(Milliseconds(14500) == host->Timing().RestartTime());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, host->Policy().Headroom(), 0.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      DomainPolicy().BatchHeadroom(), host->Policy().BatchHeadroom(), 0.0);
    CPPUNIT_ASSERT(host->Policy().IsPaceUsed());
    CPPUNIT_ASSERT(!host->Policy().IsRoomShared());
    CPPUNIT_ASSERT(!host->Policy().AreKindsSeparated());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 30 } << 20U,
                         host->Limits().MemoryBytes());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 958 }, host->Limits().Connections());
    CPPUNIT_ASSERT(Milliseconds(20'000) == host->Limits().RequestTime());
    CPPUNIT_ASSERT(CallerLimits().IdleTime() == host->Limits().IdleTime());
    for (const char* invalidLine : { "core_share: no\n",
                                     "core_share: -1\n",
                                     "threads: 0\n",
                                     "grace_s: 0\n",
                                     "unknown: 1\n",
                                     "policy: {headroom: 2}\n",
                                     "policy: {most_waste: .nan}\n",
                                     "policy: {share_room: 2}\n",
                                     "timing: {evacuate_ms: 0}\n",
                                     "timing: {evacuate_ms: 3999}\n",
                                     "timing: {evacuate_ms: never}\n",
                                     "limits: {memory_mb: 1}\n",
                                     "limits: {connections: 0}\n",
                                     "limits: {caller_memory_mb: 1}\n",
                                     "limits: {idle: 3}\n",
                                     "timing: {stop_ms: 0}\n",
                                     "timing: {restart_s: 0}\n" }) {
      CPPUNIT_ASSERT_MESSAGE(
        invalidLine,
        !DecodeDomainHostSettings(kHost + invalidLine, "f", reason));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainCodecsTest);

}
