#include "scheduling/progress_batch.h"

#include "codecs/job_progress_json.h"
#include "contracts/commit_answer_builder.h"
#include "contracts/domain_timing_builder.h"
#include "contracts/job_progress_builder.h"
#include "contracts/table_row_builder.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/refused_jobs.h"
#include "scheduling/store_rows.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kTermRevision = 7;
constexpr std::int64_t kRevision = 3;
const JobKey kJob("j");

}

/** The outcome of a transaction updates the domain state exactly as far as it
 * is confirmed. */
class ProgressBatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProgressBatchTest);
  CPPUNIT_TEST(OnlyConfirmedCommitMarksJobStored);
  CPPUNIT_TEST(CommitWithLostAnswerIsRecognisedInStoredRow);
  CPPUNIT_TEST(CancellationInStoredRowCancelsTrackedJob);
  CPPUNIT_TEST(StoredProgressKeepsTheQueuesAddress);
  CPPUNIT_TEST(ConflictWithNewerTermDeposesHolder);
  CPPUNIT_TEST(MetricsCountStartsCallsAndPlacementWaits);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->domain.ListWorker(MakeListing("w0", "r0"), Instant());
    this->domain.AddJob(MakeAdmitted("j", 1, { Valid(QuarterStep(1)) }),
                        std::nullopt,
                        kRevision,
                        Instant());
    TrackedJob& job = *this->domain.FindJob(kJob);
    this->domain.StartRun(job, job.Open(0), { WorkerName("w0") }, Instant());
  }

  void OnlyConfirmedCommitMarksJobStored()
  {
    const ProgressBatch batch = ProgressBatch::Collect(
      this->domain, kTermRevision, RefusedJobs(), Instant());
    CPPUNIT_ASSERT(!batch.Empty());
    CPPUNIT_ASSERT(batch.ApplyOutcome(
      this->Answer(WriteOutcome::kNotKnown, {}), this->domain, Instant()));
    CPPUNIT_ASSERT(this->domain.FindJob(kJob)->Dirty());
    CPPUNIT_ASSERT(batch.ApplyOutcome(
      this->Answer(WriteOutcome::kCommitted, {}), this->domain, Instant()));
    CPPUNIT_ASSERT(!this->domain.FindJob(kJob)->Dirty());
  }

  void CommitWithLostAnswerIsRecognisedInStoredRow()
  {
    const ProgressBatch batch = ProgressBatch::Collect(
      this->domain, kTermRevision, RefusedJobs(), Instant());
    const std::string ours =
      EncodeJobProgress(this->domain.FindJob(kJob)->Progress());
    batch.ApplyOutcome(this->Answer(WriteOutcome::kConflict, { Row(ours, 9) }),
                       this->domain,
                       Instant());
    CPPUNIT_ASSERT(!this->domain.FindJob(kJob)->Dirty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 },
                         this->domain.FindJob(kJob)->Revision());
  }

  void CancellationInStoredRowCancelsTrackedJob()
  {
    const ProgressBatch batch = ProgressBatch::Collect(
      this->domain, kTermRevision, RefusedJobs(), Instant());
    const std::string cancelled =
      EncodeJobProgress(Valid(JobProgressBuilder()
                                .Queue(QueueName("queue-1"))
                                .State(JobState::kCancelled)));
    batch.ApplyOutcome(
      this->Answer(WriteOutcome::kConflict, { Row(cancelled, 9) }),
      this->domain,
      Instant());
    CPPUNIT_ASSERT(JobState::kCancelled == this->domain.FindJob(kJob)->State());
  }

  /** Without it, the job is unknown once its queue has another name. */
  void StoredProgressKeepsTheQueuesAddress()
  {
    Reason reason;
    const TableTransaction transaction =
      ProgressBatch::Collect(
        this->domain, kTermRevision, RefusedJobs(), Instant())
        .Transaction();
    const auto stored =
      DecodeJobProgress(*transaction.Writes().front().NewValue(), reason);
    CPPUNIT_ASSERT(stored.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a.example/queue-1/"),
                         stored->Address().Text());
  }

  void ConflictWithNewerTermDeposesHolder()
  {
    const ProgressBatch batch = ProgressBatch::Collect(
      this->domain, kTermRevision, RefusedJobs(), Instant());
    const TableRow term = Valid(TableRowBuilder()
                                  .Table(kDomainTable)
                                  .Key(kTermRow)
                                  .Value("2")
                                  .Revision(kTermRevision + 1));
    CPPUNIT_ASSERT(
      !batch.ApplyOutcome(this->Answer(WriteOutcome::kConflict, { term }),
                          this->domain,
                          Instant()));
  }

  void MetricsCountStartsCallsAndPlacementWaits()
  {
    DomainMetrics metrics;
    metrics.Count(DomainMetrics::Event::kStart);
    metrics.RecordPlacementWait(0, Milliseconds(30));
    metrics.CountCall(
      JobCall::Kind::kSubmit, JobReply::Kind::kAccepted, Milliseconds(15));
    const std::string text = metrics.Text();
    for (const char* line :
         { "sardinecourse_starts_total 1\n",
           "sardinecourse_call_seconds_bucket{call=\"submit\",outcome="
           "\"accepted\",le=\"0.01\"} 0\n",
           "sardinecourse_call_seconds_bucket{call=\"submit\",outcome="
           "\"accepted\",le=\"0.02\"} 1\n",
           "sardinecourse_placement_wait_seconds_bucket{priority=\"0\",le="
           "\"0.05\"} 1\n" }) {
      CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
  }

private:
  static TableRow Row(const std::string& aValue, std::int64_t aRevision)
  {
    return Valid(TableRowBuilder()
                   .Table(kProgressTable)
                   .Key(kJob.Text())
                   .Value(aValue)
                   .Revision(aRevision));
  }

  static CommitAnswer Answer(WriteOutcome aOutcome, std::vector<TableRow> aRows)
  {
    return Valid(CommitAnswerBuilder().Outcome(aOutcome).Revision(8).Current(
      std::move(aRows)));
  }

  DomainState domain{ DomainTiming(), Instant(), Instant() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressBatchTest);

}
