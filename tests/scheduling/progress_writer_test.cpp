#include "scheduling/progress_writer.h"

#include "codecs/admitted_job_json.h"
#include "codecs/job_progress_json.h"
#include "contracts/ended_task_builder.h"
#include "contracts/job_progress_builder.h"
#include "contracts/worker_report_builder.h"
#include "platform/schema.h"
#include "scheduling/archive_batch.h"
#include "scheduling/domain_feeds.h"
#include "scheduling/domain_term.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/fake_worker_orders.h"
#include "tests/scheduling/sample_jobs.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kTerm = 2;
constexpr std::int32_t kWide = 920;
constexpr std::int32_t kWorkers = 40;
const JobKey kWideJob("wide");
const JobKey kSmallJob("small");
const JobKey kLastingJob("lasting");

using Term = DomainTerm<FakeRowStore, FakeWorkerOrders>;

WorkerName
WorkerOf(std::int64_t aIndex)
{
  return WorkerName("worker-" + std::to_string(aIndex % kWorkers));
}

}

/** The store limits the size of a row and of a transaction. Progress that grows
 * with the width of a job and with its failures must stay within these limits,
 * and a job that exceeds them must not delay the other jobs. */
class ProgressWriterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProgressWriterTest);
  CPPUNIT_TEST(WideFailingJobDoesNotHaltDomain);
  CPPUNIT_TEST(RepeatedFailuresOfLastingTaskDoNotHaltDomain);
  CPPUNIT_TEST(ProgressInSeveralRowsIsLoadedByNextHolder);
  CPPUNIT_TEST(ArchivedJobLeavesNoRowOfProgress);
  CPPUNIT_TEST(RefusedJobDoesNotDelayOtherJobs);
  CPPUNIT_TEST(WideJobWithLongCheckpointsIsStored);
  CPPUNIT_TEST(CheckpointsWithLongEncodingAreStoredInPart);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->store.Put(kDomainTable, kTermRow, "2");
    this->term = this->MakeTerm();
  }

  /** A job of 920 tasks whose runs all fail: its progress lists each task's
   * worker and failed runs, which once exceeded a row. */
  void WideFailingJobDoesNotHaltDomain()
  {
    this->Add(kWideJob, QuarterStep(kWide), 4);
    this->Add(kSmallJob, QuarterStep(1), 3);
    this->StartAndFailAll(kWideJob, 3);
    this->StartAll(kSmallJob);
    this->Write();
    CPPUNIT_ASSERT(this->IsStored(kSmallJob));
    CPPUNIT_ASSERT(this->IsStored(kWideJob));
    CPPUNIT_ASSERT_EQUAL(0, this->store.refusals);
  }

  /** A task that lasts has no limit of attempts, so that the list of its failed
   * runs once grew without bound. */
  void RepeatedFailuresOfLastingTaskDoNotHaltDomain()
  {
    this->Add(kLastingJob, QuarterStep(30).IsEndless(true), 3);
    this->Add(kSmallJob, QuarterStep(1), 3);
    this->StartAndFailAll(kLastingJob, 150);
    this->StartAll(kSmallJob);
    this->Write();
    CPPUNIT_ASSERT(this->IsStored(kSmallJob));
    CPPUNIT_ASSERT(this->IsStored(kLastingJob));
    CPPUNIT_ASSERT_EQUAL(0, this->store.refusals);
  }

  void ProgressInSeveralRowsIsLoadedByNextHolder()
  {
    this->Add(kWideJob, QuarterStep(4 * kWide), 4);
    this->StartAndFailAll(kWideJob, 3);
    this->Write();
    const JobProgress before = this->Job(kWideJob).Progress();
    CPPUNIT_ASSERT(this->Job(kWideJob).StoredRows() > 1);
    this->term = this->MakeTerm();
    CPPUNIT_ASSERT(this->Load());
    CPPUNIT_ASSERT(this->term->Domain().FindJob(kWideJob) != nullptr);
    CPPUNIT_ASSERT(before == this->Job(kWideJob).Progress());
  }

  void ArchivedJobLeavesNoRowOfProgress()
  {
    this->Add(kWideJob, QuarterStep(4 * kWide), 4);
    this->StartAndFailAll(kWideJob, 3);
    this->Write();
    this->term->Domain().CancelJob(kWideJob, Instant());
    this->term->Domain().Retire(kWideJob);
    const ArchiveBatch batch = ArchiveBatch::Collect(
      this->term->Domain(), this->term->Revision(), Clock::now());
    CPPUNIT_ASSERT(!batch.Empty());
    this->term->Spawn([&]() -> boost::asio::awaitable<void> {
      Reason reason;
      const TableTransaction transaction = batch.Transaction();
      co_await this->store.Commit(transaction, reason);
    });
    this->Run();
    for (const std::string& table :
         { kJobTable, kProgressTable, kProgressRowTable }) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->store.CountRows(table));
    }
  }

  /** A store that accepts less in a transaction than the progress of the job
   * takes. */
  void RefusedJobDoesNotDelayOtherJobs()
  {
    this->store.maxCallBytes = 10'000;
    this->Add(kWideJob, QuarterStep(1000), 4);
    this->Add(kSmallJob, QuarterStep(1), 3);
    this->StartAll(kWideJob);
    this->StartAll(kSmallJob);
    this->Write();
    CPPUNIT_ASSERT(this->store.refusals > 0);
    CPPUNIT_ASSERT(this->IsStored(kSmallJob));
    CPPUNIT_ASSERT(!this->IsStored(kWideJob));
  }

  /** A checkpoint of the longest kept size in each of 1,000 tasks exceeds a
   * transaction, whatever the rows: the job was never stored again, so that
   * none of its tasks was started any more. */
  void WideJobWithLongCheckpointsIsStored()
  {
    this->StoreWithCheckpoints(std::string(1024, 'c'));
    const JobProgress progress = this->Job(kWideJob).Progress();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1000 }, progress.Placements().size());
    CPPUNIT_ASSERT(!progress.Placements().front().saved.empty());
    this->term = this->MakeTerm();
    CPPUNIT_ASSERT(this->Load());
    CPPUNIT_ASSERT(progress == this->Job(kWideJob).Progress());
  }

  /** Each byte of such a checkpoint takes six in its row. */
  void CheckpointsWithLongEncodingAreStoredInPart()
  {
    this->StoreWithCheckpoints(std::string(1024, '\x01'));
  }

private:
  void StoreWithCheckpoints(const std::string& aCheckpoint)
  {
    this->Add(kWideJob, QuarterStep(1000), 4);
    this->Add(kSmallJob, QuarterStep(1), 3);
    this->StartAll(kWideJob);
    TrackedJob& wide = this->Job(kWideJob);
    for (std::int32_t number = 0; number < wide.UnitCount(); ++number) {
      TaskUnit& unit = wide.Open(number);
      MemberRun* member = unit.Find(unit.First(), unit.Run());
      unit.UpdateProgress(*member, 1, aCheckpoint, Clock::now());
    }
    this->StartAll(kSmallJob);
    this->Write();
    CPPUNIT_ASSERT_EQUAL(0, this->store.refusals);
    CPPUNIT_ASSERT(this->IsStored(kSmallJob));
    CPPUNIT_ASSERT(this->IsStored(kWideJob));
  }

  std::shared_ptr<Term> MakeTerm()
  {
    Term::Callbacks callbacks;
    callbacks.exclusiveUntil = [] {
      return Clock::now() + Milliseconds(60'000);
    };
    callbacks.deposed = [] {};
    callbacks.metrics = &this->metrics;
    auto made = std::make_shared<Term>(
      this->context,
      this->store,
      this->orders,
      DomainTiming(),
      DomainGain{ kTerm, this->store.Find(kDomainTable, kTermRow)->Revision() },
      callbacks);
    for (std::int32_t worker = 0; worker < kWorkers; ++worker) {
      made->Domain().ListWorker(MakeListing(WorkerOf(worker).Text(), "r0"),
                                Clock::now());
    }
    return made;
  }

  TrackedJob& Job(const JobKey& aKey)
  {
    return *this->term->Domain().FindJob(aKey);
  }

  bool IsStored(const JobKey& aKey) { return !this->Job(aKey).Dirty(); }

  void Add(const JobKey& aKey,
           const JobStepBuilder& aStep,
           std::int32_t aMaxAttempts)
  {
    const AdmittedJob job =
      MakeAdmitted(aKey.Text(), 1, { Valid(aStep) }, aMaxAttempts);
    this->store.Put(kJobTable, aKey.Text(), EncodeAdmittedJob(job));
    this->store.Put(
      kProgressTable,
      aKey.Text(),
      EncodeJobProgress(Valid(JobProgressBuilder().Queue(job.Queue()))));
    this->term->Domain().AddJob(
      job,
      std::nullopt,
      this->store.Find(kProgressTable, aKey.Text())->Revision(),
      Clock::now());
  }

  void StartAll(const JobKey& aKey)
  {
    TrackedJob& job = this->Job(aKey);
    for (std::int32_t number = 0; number < job.UnitCount(); ++number) {
      this->term->Domain().StartRun(
        job, job.Open(number), { WorkerOf(number) }, Clock::now());
    }
  }

  void StartAndFailAll(const JobKey& aKey, int aRuns)
  {
    for (int run = 0; run < aRuns; ++run) {
      this->StartAll(aKey);
      TrackedJob& job = this->Job(aKey);
      for (std::int32_t number = 0; number < job.UnitCount(); ++number) {
        TaskUnit& unit = job.Open(number);
        this->term->Domain().MarkMemberGone(job, unit, unit.First());
        job.RecordEnd(
          unit, unit.Run(), RunOutcome::kFailed, "0123456789abcdef");
      }
      job.MarkDirty();
    }
  }

  /** Runs the writer for a while. */
  void Write()
  {
    OrderSender<Term> sender(*this->term);
    ProgressWriter<Term> writer(*this->term, sender);
    this->term->Spawn([&writer] { return writer.Run(); });
    boost::asio::steady_timer timer(this->context, Milliseconds(400));
    timer.async_wait(
      [this](const boost::system::error_code&) { this->term->Stop(); });
    this->Run();
  }

  bool Load()
  {
    WorkerPoller<Term> poller(*this->term);
    DomainFeeds<Term, platform::Schema> feeds(*this->term, poller);
    bool isLoaded = false;
    this->term->Spawn([&]() -> boost::asio::awaitable<void> {
      Reason reason;
      isLoaded = co_await feeds.Load(reason);
      this->term->Stop();
    });
    this->Run();
    return isLoaded;
  }

  void Run()
  {
    this->context.restart();
    this->context.run();
  }

  boost::asio::io_context context{ 1 };
  FakeRowStore store;
  FakeWorkerOrders orders;
  DomainMetrics metrics;
  std::shared_ptr<Term> term;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressWriterTest);

}
