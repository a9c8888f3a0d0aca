#include "scheduling/domain_job_api.h"

#include "codecs/admitted_job_json.h"
#include "codecs/domain_backlog_json.h"
#include "codecs/domain_usage_json.h"
#include "contracts/domain_backlog_builder.h"
#include "contracts/domain_usage_builder.h"
#include "contracts/job_queue_builder.h"
#include "contracts/service_catalog_builder.h"
#include "contracts/team_access_builder.h"
#include "core/rcu_thread.h"
#include "platform/schema.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/sample_jobs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr const char* kPath = "/one/0123456789abcdef";
constexpr const char* kJob = "0123456789abcdef";
constexpr Milliseconds kBacklogWait{ 60'000 };

using JobApi = DomainJobApi<FakeRowStore, platform::Schema>;

std::string
RouteText(const std::string& aName,
          const std::string& aPathPrefix,
          int aPriority = 0)
{
  return R"({"Name":")" + aName + R"(","Host":"a","PathPrefix":")" +
         aPathPrefix + R"(","Service":"s1","Priority":)" +
         std::to_string(aPriority) + "}";
}

std::string
ConfigurationText(int aVersion,
                  const std::string& aKeys,
                  const std::string& aRoutes = RouteText("r1", "/one/"))
{
  return R"({"Version":)" + std::to_string(aVersion) + R"(,"Routes":[)" +
         aRoutes + R"(],"Tenants":[{"Name":"t1","ApiKeys":[)" + aKeys + "]}]}";
}

}

/** Checks that replies to callers match what is stored, also when answers of
 * the store are lost or the configuration changes during the call. */
class DomainJobApiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainJobApiTest);
  CPPUNIT_TEST(StoredJobIsAccepted);
  CPPUNIT_TEST(StoredJobNamesDataCentreOfItsHost);
  CPPUNIT_TEST(RepeatedSubmitStoresOneJob);
  CPPUNIT_TEST(LostCommitAnswerIsRetriedBeforeReply);
  CPPUNIT_TEST(UnresolvedCommitIsReportedAsNotKnown);
  CPPUNIT_TEST(RetriesOutlastStopOfHost);
  CPPUNIT_TEST(StoreRefusalRefusesCallWithoutRetry);
  CPPUNIT_TEST(JobBeyondTheStoresLimitsIsMalformed);
  CPPUNIT_TEST(JobWithoutRoomIsToldWhenToComeBack);
  CPPUNIT_TEST(RepeatedSubmitIsAcceptedWithoutRoom);
  CPPUNIT_TEST(UnsettledSubmitIsNotReportedAsNotRunWithoutRoom);
  CPPUNIT_TEST(JobIsAcceptedBesideUsageThatLeavesRoom);
  CPPUNIT_TEST(JobBehindBacklogIsRefusedAndNotStored);
  CPPUNIT_TEST(JobAcceptedBeforeBacklogIsNotRefused);
  CPPUNIT_TEST(BacklogOfUnknownAgeRefusesNothing);
  CPPUNIT_TEST(KeyRevokedDuringSubmitStoresNothing);
  CPPUNIT_TEST(StaleConfirmationRefusesEveryCall);
  CPPUNIT_TEST(CancelIsVisibleAndStoredForHolder);
  CPPUNIT_TEST(AdmissionAfterAnsweredCancelStoresNothing);
  CPPUNIT_TEST(JobAdmittedDuringCancelIsCancelled);
  CPPUNIT_TEST(RefusedCancelOfExistingJobIsNotAnsweredAsNoJob);
  CPPUNIT_TEST(ArchivedJobIsShownAndNotRunAgain);
  CPPUNIT_TEST(UnknownJobIsReportedAsNoJob);
  CPPUNIT_TEST(UnknownKeyOrQueueIsRefused);
  CPPUNIT_TEST(JobOfRenamedQueueIsShownAndCancelled);
  CPPUNIT_TEST(JobOfMovedQueueIsShown);
  CPPUNIT_TEST(JobOfAnotherQueueIsNoJob);
  CPPUNIT_TEST(JobIsShownAfterAFailedRead);
  CPPUNIT_TEST(UnreadableStoreRefusesShowSoon);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->Configure(ConfigurationText(3, "\"k1\"")); }

  void StoredJobIsAccepted()
  {
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) != nullptr);
    const JobReply shown = this->Send(JobCall::Kind::kShow);
    CPPUNIT_ASSERT(JobReply::Kind::kState == shown.kind);
    CPPUNIT_ASSERT(JobState::kAdmitted == shown.state);
  }

  void StoredJobNamesDataCentreOfItsHost()
  {
    this->Submit();
    Reason reason;
    const auto job =
      DecodeAdmittedJob(this->store.Find(kJobTable, kJob)->Value(), reason);
    CPPUNIT_ASSERT(job.has_value());
    CPPUNIT_ASSERT(DataCentreName("north") == job->DataCentre());
  }

  void RepeatedSubmitStoresOneJob()
  {
    this->Submit();
    const std::int64_t revision = this->store.Find(kJobTable, kJob)->Revision();
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT_EQUAL(revision,
                         this->store.Find(kJobTable, kJob)->Revision());
  }

  void LostCommitAnswerIsRetriedBeforeReply()
  {
    this->store.faults = { StoreFault::kLostApplied };
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT_EQUAL(2, this->store.commits);
  }

  void UnresolvedCommitIsReportedAsNotKnown()
  {
    this->store.faults = { StoreFault::kLostUnapplied };
    this->store.faults.resize(100, StoreFault::kNotWritten);
    CPPUNIT_ASSERT(JobReply::Kind::kNotKnown == this->Submit().kind);
  }

  /** A call that is tried again until its caller's deadline was cut off
   * without an answer when the host ended before. */
  void RetriesOutlastStopOfHost()
  {
    this->store.faults = { StoreFault::kLostUnapplied };
    this->store.faults.resize(1000, StoreFault::kNotWritten);
    JobCall call = this->MakeCall(JobCall::Kind::kSubmit);
    call.deadline = Clock::now() + Milliseconds(10'000);
    const Instant answerBy = Clock::now() + Milliseconds(400);
    CPPUNIT_ASSERT(JobReply::Kind::kNotKnown ==
                   this->Serve(call, answerBy).kind);
    CPPUNIT_ASSERT(Clock::now() < answerBy);
  }

  void StoreRefusalRefusesCallWithoutRetry()
  {
    this->store.isDown = true;
    const JobReply reply = this->Submit();
    CPPUNIT_ASSERT(JobReply::Kind::kNotRun == reply.kind);
    CPPUNIT_ASSERT(reply.retryAfter.count() > 0);
    CPPUNIT_ASSERT_EQUAL(1, this->store.commits);
  }

  /** A repetition would be refused again, so the caller is not told to come
   * back. */
  void JobBeyondTheStoresLimitsIsMalformed()
  {
    JobCall call = this->MakeCall(JobCall::Kind::kSubmit);
    call.plan = Valid(JobPlanBuilder()
                        .Payload(std::string(60'000, 'p'))
                        .Steps({ Valid(QuarterStep(2)) }));
    CPPUNIT_ASSERT(JobReply::Kind::kMalformed == this->Serve(call).kind);
    CPPUNIT_ASSERT_EQUAL(1, this->store.refusals);
    call.plan = Valid(JobPlanBuilder().Steps({ Valid(WholeWorkerGang(5000)) }));
    CPPUNIT_ASSERT(JobReply::Kind::kMalformed == this->Serve(call).kind);
    CPPUNIT_ASSERT_EQUAL(1, this->store.commits);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) == nullptr);
  }

  /** Jobs beyond what a host can load were accepted. */
  void JobWithoutRoomIsToldWhenToComeBack()
  {
    this->PutUsage(kMaxIntakeBytes);
    const JobReply reply = this->Submit();
    CPPUNIT_ASSERT(JobReply::Kind::kNotRun == reply.kind);
    CPPUNIT_ASSERT(reply.retryAfter > Milliseconds(1000));
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) == nullptr);
  }

  void RepeatedSubmitIsAcceptedWithoutRoom()
  {
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    this->PutUsage(kMaxIntakeBytes);
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->store.CountRows(kJobTable));
  }

  /** The answer of the first attempt is lost, and the usage is published before
   * the second one. */
  void UnsettledSubmitIsNotReportedAsNotRunWithoutRoom()
  {
    this->store.faults = { StoreFault::kLostLate };
    this->store.beforeCommit = [this] {
      this->store.beforeCommit = [this] {
        this->store.ApplyLate();
        this->PutUsage(kMaxIntakeBytes);
      };
    };
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) != nullptr);
  }

  void JobIsAcceptedBesideUsageThatLeavesRoom()
  {
    this->PutUsage(kMaxIntakeBytes / 2);
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT_EQUAL(2, this->store.commits);
  }

  /** The host has admitted another job a moment before the backlog was stated,
   * so it knows how old the statement is. */
  void JobBehindBacklogIsRefusedAndNotStored()
  {
    const std::vector<JobReply> replies =
      this->SubmitAroundBacklog("fedcba9876543210", kJob);
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == replies.front().kind);
    CPPUNIT_ASSERT(JobReply::Kind::kNotRun == replies.back().kind);
    CPPUNIT_ASSERT(replies.back().retryAfter > Milliseconds(1000));
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) == nullptr);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      this->metrics.CountOf(DomainMetrics::Event::kBacklogRefusal));
  }

  void JobAcceptedBeforeBacklogIsNotRefused()
  {
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted ==
                   this->SubmitAroundBacklog(kJob, kJob).back().kind);
  }

  void BacklogOfUnknownAgeRefusesNothing()
  {
    this->PutBacklog();
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
  }

  void KeyRevokedDuringSubmitStoresNothing()
  {
    this->store.beforeCommit = [this] {
      this->store.Put("op", "config", ConfigurationText(4, "\"k2\""));
    };
    CPPUNIT_ASSERT(JobReply::Kind::kUnknownKey == this->Submit().kind);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) == nullptr);
    CPPUNIT_ASSERT_EQUAL(1, this->catalogRows);
  }

  void StaleConfirmationRefusesEveryCall()
  {
    this->currentCatalog.NoteConfirmed(Clock::now() - Milliseconds(4000));
    for (const JobCall::Kind kind : { JobCall::Kind::kSubmit,
                                      JobCall::Kind::kShow,
                                      JobCall::Kind::kCancel }) {
      CPPUNIT_ASSERT(JobReply::Kind::kNotRun == this->Send(kind).kind);
    }
    CPPUNIT_ASSERT_EQUAL(0, this->store.commits);
  }

  void CancelIsVisibleAndStoredForHolder()
  {
    this->Submit();
    this->store.faults = { StoreFault::kLostApplied };
    CPPUNIT_ASSERT(JobReply::Kind::kCancelled ==
                   this->Send(JobCall::Kind::kCancel).kind);
    CPPUNIT_ASSERT(JobState::kCancelled ==
                   this->Send(JobCall::Kind::kShow).state);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, CancelRowKey(JobKey(kJob))) !=
                   nullptr);
  }

  /** A caller leaves its submit and cancels the job at another host before the
   * submit is stored. The job once ran although the caller was told that there
   * is no such job. */
  void AdmissionAfterAnsweredCancelStoresNothing()
  {
    CPPUNIT_ASSERT(JobReply::Kind::kNoJob ==
                   this->Send(JobCall::Kind::kCancel).kind);
    const JobReply reply = this->Submit();
    CPPUNIT_ASSERT(JobReply::Kind::kNotRun == reply.kind);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 },
                         std::int64_t{ reply.retryAfter.count() });
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) == nullptr);
    CPPUNIT_ASSERT(JobReply::Kind::kNoJob ==
                   this->Send(JobCall::Kind::kShow).kind);
  }

  /** The admission is stored between the read and the write of the cancel. */
  void JobAdmittedDuringCancelIsCancelled()
  {
    this->store.beforeCommit = [this] { this->Submit(); };
    CPPUNIT_ASSERT(JobReply::Kind::kCancelled ==
                   this->Send(JobCall::Kind::kCancel).kind);
    CPPUNIT_ASSERT(JobState::kCancelled ==
                   this->Send(JobCall::Kind::kShow).state);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, CancelRowKey(JobKey(kJob))) !=
                   nullptr);
    CPPUNIT_ASSERT(this->store.Find(kTombstoneTable, kJob) == nullptr);
  }

  /** The store refuses the cancellation for its size, and the job runs on. */
  void RefusedCancelOfExistingJobIsNotAnsweredAsNoJob()
  {
    this->store.Put(
      kProgressTable,
      kJob,
      EncodeJobProgress(Valid(JobProgressBuilder()
                                .Queue(QueueName("r1"))
                                .State(JobState::kRunning)
                                .Marks(std::string(60'000, 's')))));
    CPPUNIT_ASSERT(JobReply::Kind::kNotKnown ==
                   this->Send(JobCall::Kind::kCancel).kind);
    CPPUNIT_ASSERT(this->store.refusals > 0);
  }

  /** After its end a job has one row, in the table of ended jobs. A submit that
   * arrives again then must find it. */
  void ArchivedJobIsShownAndNotRunAgain()
  {
    this->store.Put(kEndedTable,
                    kJob,
                    EncodeJobProgress(Valid(JobProgressBuilder()
                                              .Queue(QueueName("r1"))
                                              .State(JobState::kFinished))));
    CPPUNIT_ASSERT(JobState::kFinished ==
                   this->Send(JobCall::Kind::kShow).state);
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    CPPUNIT_ASSERT(this->store.Find(kJobTable, kJob) == nullptr);
    CPPUNIT_ASSERT(JobReply::Kind::kCancelled ==
                   this->Send(JobCall::Kind::kCancel).kind);
    CPPUNIT_ASSERT(JobState::kFinished ==
                   this->Send(JobCall::Kind::kShow).state);
  }

  void UnknownJobIsReportedAsNoJob()
  {
    CPPUNIT_ASSERT(JobReply::Kind::kNoJob ==
                   this->Send(JobCall::Kind::kShow).kind);
    CPPUNIT_ASSERT(JobReply::Kind::kNoJob ==
                   this->Send(JobCall::Kind::kCancel).kind);
  }

  void UnknownKeyOrQueueIsRefused()
  {
    JobCall call = this->MakeCall(JobCall::Kind::kSubmit);
    call.key = "k9";
    CPPUNIT_ASSERT(JobReply::Kind::kUnknownKey == this->Serve(call).kind);
    call.path = "/two/1";
    CPPUNIT_ASSERT(JobReply::Kind::kNoQueue == this->Serve(call).kind);
  }

  /** A new configuration gives the route another name. Its accepted jobs were
   * answered as unknown while their tasks ran on. */
  void JobOfRenamedQueueIsShownAndCancelled()
  {
    this->Submit();
    this->Configure(ConfigurationText(4, "\"k1\"", RouteText("r2", "/one/")));
    CPPUNIT_ASSERT(JobReply::Kind::kAccepted == this->Submit().kind);
    const JobReply shown = this->Send(JobCall::Kind::kShow);
    CPPUNIT_ASSERT(JobReply::Kind::kState == shown.kind);
    CPPUNIT_ASSERT(JobState::kAdmitted == shown.state);
    CPPUNIT_ASSERT(JobReply::Kind::kCancelled ==
                   this->Send(JobCall::Kind::kCancel).kind);
    CPPUNIT_ASSERT(JobState::kCancelled ==
                   this->Send(JobCall::Kind::kShow).state);
  }

  /** The route keeps its name and gets another path prefix. */
  void JobOfMovedQueueIsShown()
  {
    this->Submit();
    this->Configure(ConfigurationText(4, "\"k1\"", RouteText("r1", "/two/")));
    JobCall call = this->MakeCall(JobCall::Kind::kShow);
    CPPUNIT_ASSERT(JobReply::Kind::kNoQueue == this->Serve(call).kind);
    call.path = "/two/" + std::string(kJob);
    CPPUNIT_ASSERT(JobReply::Kind::kState == this->Serve(call).kind);
  }

  /** A job must not be shown at a queue to which it was never submitted. */
  void JobOfAnotherQueueIsNoJob()
  {
    this->Configure(ConfigurationText(
      4, "\"k1\"", RouteText("r1", "/one/") + "," + RouteText("r2", "/two/")));
    this->Submit();
    JobCall call = this->MakeCall(JobCall::Kind::kShow);
    call.path = "/two/" + std::string(kJob);
    CPPUNIT_ASSERT(JobReply::Kind::kNoJob == this->Serve(call).kind);
    call.kind = JobCall::Kind::kCancel;
    CPPUNIT_ASSERT(JobReply::Kind::kNoJob == this->Serve(call).kind);
    CPPUNIT_ASSERT(JobReply::Kind::kState ==
                   this->Send(JobCall::Kind::kShow).kind);
  }

  /** A read fails once, for example on a connection that the store closes at
   * that moment. The caller was told to come back, although the store answers.
   */
  void JobIsShownAfterAFailedRead()
  {
    this->Submit();
    for (const char* path : { kPath, "/one/" }) {
      this->store.failingReads = 1;
      JobCall call = this->MakeCall(JobCall::Kind::kShow);
      call.path = path;
      CPPUNIT_ASSERT(JobReply::Kind::kNotRun != this->Serve(call).kind);
      CPPUNIT_ASSERT_EQUAL(0, this->store.failingReads);
    }
  }

  /** The caller must have time left to ask another host. */
  void UnreadableStoreRefusesShowSoon()
  {
    this->Submit();
    this->store.isDown = true;
    JobCall call = this->MakeCall(JobCall::Kind::kShow);
    const Instant sentAt = Clock::now();
    call.deadline = sentAt + Milliseconds(3000);
    CPPUNIT_ASSERT(JobReply::Kind::kNotRun == this->Serve(call).kind);
    CPPUNIT_ASSERT(Clock::now() < sentAt + Milliseconds(750));
  }

private:
  /** Stores the usage that the holder would publish. */
  void PutUsage(std::int64_t aBytes)
  {
    this->store.Put(
      kDomainTable,
      kUsageRow,
      EncodeDomainUsage(Valid(DomainUsageBuilder().Bytes(aBytes))));
  }

  void PutBacklog()
  {
    this->store.Put(kDomainTable,
                    kBacklogRow,
                    EncodeDomainBacklog(Valid(DomainBacklogBuilder().Waits(
                      { { { ServiceName("s1"), 1 }, kBacklogWait } }))));
  }

  /** Submits two jobs to one host; a backlog is stated between them. */
  std::vector<JobReply> SubmitAroundBacklog(const std::string& aFirst,
                                            const std::string& aSecond)
  {
    this->Configure(
      ConfigurationText(3, "\"k1\"", RouteText("r1", "/one/", 1)));
    std::vector<JobReply> replies;
    this->Run([&](JobApi& aApi) -> boost::asio::awaitable<void> {
      for (const std::string& job : { aFirst, aSecond }) {
        JobCall call = this->MakeCall(JobCall::Kind::kSubmit);
        call.path = "/one/" + job;
        const JobReply reply = co_await aApi.Answer(call);
        replies.push_back(reply);
        this->PutBacklog();
      }
    });
    return replies;
  }

  /** Stores a configuration and publishes it on this host. */
  void Configure(const std::string& aText)
  {
    this->store.Put("op", "config", aText);
    Reason reason;
    const auto catalog =
      platform::DecodeCatalog(*this->store.Find("op", "config"), reason);
    this->currentCatalog.Publish(*catalog);
    this->currentCatalog.NoteConfirmed(Clock::now());
  }

  JobCall MakeCall(JobCall::Kind aKind) const
  {
    JobCall call;
    call.kind = aKind;
    call.authority = "a";
    call.path = kPath;
    call.key = "k1";
    call.plan = Valid(JobPlanBuilder().Steps({ Valid(QuarterStep(2)) }));
    call.deadline = Clock::now() + Milliseconds(600);
    return call;
  }

  JobReply Submit() { return this->Send(JobCall::Kind::kSubmit); }
  JobReply Send(JobCall::Kind aKind)
  {
    return this->Serve(this->MakeCall(aKind));
  }

  JobReply Serve(const JobCall& aCall, Instant aAnswerBy = Instant::max())
  {
    JobReply reply;
    this->Run([&](JobApi& aApi) -> boost::asio::awaitable<void> {
      aApi.AnswerBy(aAnswerBy);
      reply = co_await aApi.Answer(aCall);
    });
    return reply;
  }

  /** Runs a coroutine with a host's job API to its end. */
  template<typename Body>
  void Run(Body aBody)
  {
    boost::asio::io_context context(1);
    JobApi jobApi(context,
                  this->store,
                  this->currentCatalog,
                  this->metrics,
                  Milliseconds(5000),
                  [this](const TableRow&) { ++this->catalogRows; });
    jobApi.SetDataCentre(DataCentreName("north"));
    jobApi.SetRefusingForBacklog(true);
    boost::asio::co_spawn(
      context, aBody(jobApi), [](const std::exception_ptr&) {});
    context.run();
  }

  FakeRowStore store;
  CurrentCatalog currentCatalog;
  DomainMetrics metrics;
  int catalogRows = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainJobApiTest);

}
