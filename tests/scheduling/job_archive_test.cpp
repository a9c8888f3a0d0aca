#include "scheduling/archive_batch.h"

#include "codecs/admitted_job_json.h"
#include "codecs/job_progress_json.h"
#include "contracts/commit_answer_builder.h"
#include "contracts/job_progress_builder.h"
#include "contracts/table_row_builder.h"
#include "contracts/table_transaction.h"
#include "scheduling/store_rows.h"
#include "scheduling/tombstones.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_state.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kTermRevision = 7;
constexpr std::int64_t kRevision = 3;
constexpr std::size_t kMaxRowsPerTransaction = 100;
constexpr std::size_t kMany = 1000;
const JobKey kJob("j");
const Instant kLater{ Milliseconds(10'000) };

}

/** Ended jobs leave the tables that a holder loads; none runs again by it and
 * none is forgotten before its retention time. */
class JobArchiveTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobArchiveTest);
  CPPUNIT_TEST(OnlyEndedIdleJobIsArchived);
  CPPUNIT_TEST(TransactionMovesRowsOnConditionOfTheirRevision);
  CPPUNIT_TEST(TransactionStaysWithinTheStoresLimit);
  CPPUNIT_TEST(LostAnswerIsRecognisedByMissingRows);
  CPPUNIT_TEST(UnreadableConflictArchivesNothing);
  CPPUNIT_TEST(CancelledRowIsArchivedAtItsNewRevision);
  CPPUNIT_TEST(NewerTermDeposesHolder);
  CPPUNIT_TEST(RowReadBeforeArchivingDoesNotRestartJob);
  CPPUNIT_TEST(ArchivedJobIsDeletableOnlyAfterRetention);
  CPPUNIT_TEST(TombstoneIsDeletableOnlyAfterRetentionSinceItsLastWrite);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->Add(kJob); }

  void OnlyEndedIdleJobIsArchived()
  {
    CPPUNIT_ASSERT(this->Collect().Empty());
    this->domain.CancelJob(kJob, Instant());
    CPPUNIT_ASSERT(this->Collect().Empty()); // Its runs may not have ended.
    this->domain.Retire(kJob);
    CPPUNIT_ASSERT(!this->Collect().Empty());
    CPPUNIT_ASSERT(
      ArchiveBatch::Collect(this->domain, kTermRevision, Instant()).Empty());
  }

  void TransactionMovesRowsOnConditionOfTheirRevision()
  {
    this->End(kJob);
    const TableTransaction transaction = this->Collect().Transaction();
    const auto checks = [&](const std::string& aTable, std::int64_t aRevision) {
      return std::any_of(transaction.Checks().begin(),
                         transaction.Checks().end(),
                         [&](const TableCheck& aCheck) {
                           return aCheck.Table() == aTable &&
                                  aCheck.Revision() == aRevision;
                         });
    };
    CPPUNIT_ASSERT(checks(kDomainTable, kTermRevision));
    CPPUNIT_ASSERT(checks(kProgressTable, kRevision));
    int removed = 0;
    for (const TableWrite& write : transaction.Writes()) {
      if (write.Table() != kEndedTable) {
        CPPUNIT_ASSERT(!write.NewValue());
        ++removed;
        continue;
      }
      Reason reason;
      const auto progress = DecodeJobProgress(*write.NewValue(), reason);
      CPPUNIT_ASSERT(JobState::kCancelled == progress->State());
      CPPUNIT_ASSERT_EQUAL(std::string("queue-1"), progress->Queue().Text());
      CPPUNIT_ASSERT_EQUAL(std::string("a.example/queue-1/"),
                           progress->Address().Text());
    }
    CPPUNIT_ASSERT_EQUAL(3, removed); // Job, cancellation, progress.
  }

  void TransactionStaysWithinTheStoresLimit()
  {
    this->End(kJob);
    for (std::size_t job = 0; job < kMaxRowsPerTransaction; ++job) {
      const JobKey key("j" + std::to_string(job));
      this->Add(key);
      this->End(key);
    }
    const ArchiveBatch batch = this->Collect();
    const TableTransaction transaction = batch.Transaction();
    CPPUNIT_ASSERT(batch.IsFull());
    CPPUNIT_ASSERT(transaction.Checks().size() + transaction.Writes().size() <=
                   kMaxRowsPerTransaction);
  }

  void LostAnswerIsRecognisedByMissingRows()
  {
    this->End(kJob);
    const ArchiveBatch batch = this->Collect();
    CPPUNIT_ASSERT(this->Apply(batch, WriteOutcome::kNotKnown, {}));
    CPPUNIT_ASSERT(this->domain.FindJob(kJob) != nullptr);
    CPPUNIT_ASSERT(this->Apply(
      batch, WriteOutcome::kConflict, { this->TermRow(kTermRevision) }));
    CPPUNIT_ASSERT(this->domain.FindJob(kJob) == nullptr);
  }

  void UnreadableConflictArchivesNothing()
  {
    this->End(kJob);
    CPPUNIT_ASSERT(this->Apply(this->Collect(), WriteOutcome::kConflict, {}));
    CPPUNIT_ASSERT(this->domain.FindJob(kJob) != nullptr);
  }

  /** The caller's host writes the cancellation, so the holder learns the row's
   * revision only from the conflict. */
  void CancelledRowIsArchivedAtItsNewRevision()
  {
    this->End(kJob);
    const TableRow row = Valid(TableRowBuilder()
                                 .Table(kProgressTable)
                                 .Key(kJob.Text())
                                 .Value("{}")
                                 .Revision(kRevision + 1));
    CPPUNIT_ASSERT(this->Apply(this->Collect(),
                               WriteOutcome::kConflict,
                               { this->TermRow(kTermRevision), row }));
    CPPUNIT_ASSERT_EQUAL(kRevision + 1, this->domain.FindJob(kJob)->Revision());
    CPPUNIT_ASSERT(!this->Collect().Empty());
  }

  void NewerTermDeposesHolder()
  {
    this->End(kJob);
    CPPUNIT_ASSERT(!this->Apply(this->Collect(),
                                WriteOutcome::kConflict,
                                { this->TermRow(kTermRevision + 1) }));
  }

  /** A page of the feed may hold a job's row that was read before the job was
   * archived. */
  void RowReadBeforeArchivingDoesNotRestartJob()
  {
    this->End(kJob);
    CPPUNIT_ASSERT(this->Apply(this->Collect(), WriteOutcome::kCommitted, {}));
    this->Add(kJob);
    CPPUNIT_ASSERT(this->domain.FindJob(kJob) == nullptr);
  }

  void ArchivedJobIsDeletableOnlyAfterRetention()
  {
    this->End(kJob);
    this->Apply(this->Collect(), WriteOutcome::kCommitted, {});
    const Instant deletable =
      kLater + this->domain.Timing().FinalJobRetention();
    CPPUNIT_ASSERT(
      this->domain.ArchivedPastRetention(deletable - Milliseconds(1), kMany)
        .empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      this->domain.ArchivedPastRetention(deletable, kMany).size());
  }

  void TombstoneIsDeletableOnlyAfterRetentionSinceItsLastWrite()
  {
    const auto row = [](std::int64_t aRevision) {
      return Valid(TableRowBuilder()
                     .Table(kTombstoneTable)
                     .Key("j")
                     .Value("")
                     .Revision(aRevision));
    };
    constexpr Milliseconds kRetention{ 1000 };
    const Instant start{ Milliseconds(5000) };
    Tombstones tombstones;
    tombstones.Update({ row(3) }, start);
    tombstones.Update({ row(4) }, start + kRetention);
    CPPUNIT_ASSERT(
      tombstones.Expired(kRetention, kMany, start + kRetention).empty());
    tombstones.Update({ row(4) }, start + 2 * kRetention);
    const std::vector<TableRow> expired =
      tombstones.Expired(kRetention, kMany, start + 2 * kRetention);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, expired.size());
    const TableTransaction deletion =
      Tombstones::Deletion(expired, kTermRevision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, deletion.Checks().size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, deletion.Checks()[1].Revision());
    CPPUNIT_ASSERT(!deletion.Writes()[0].NewValue());
  }

private:
  void Add(const JobKey& aKey)
  {
    this->domain.AddJob(MakeAdmitted(aKey.Text(), 1, { Valid(QuarterStep(1)) }),
                        std::nullopt,
                        kRevision,
                        Instant());
  }

  void End(const JobKey& aKey)
  {
    this->domain.CancelJob(aKey, Instant());
    this->domain.Retire(aKey);
  }

  ArchiveBatch Collect() const
  {
    return ArchiveBatch::Collect(this->domain, kTermRevision, kLater);
  }

  bool Apply(const ArchiveBatch& aBatch,
             WriteOutcome aOutcome,
             std::vector<TableRow> aRows)
  {
    return aBatch.ApplyOutcome(
      Valid(CommitAnswerBuilder().Outcome(aOutcome).Revision(8).Current(
        std::move(aRows))),
      this->domain,
      kLater);
  }

  static TableRow TermRow(std::int64_t aRevision)
  {
    return Valid(TableRowBuilder()
                   .Table(kDomainTable)
                   .Key(kTermRow)
                   .Value("2")
                   .Revision(aRevision));
  }

  DomainState domain{ DomainTiming(), Instant(), Instant() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobArchiveTest);

}
