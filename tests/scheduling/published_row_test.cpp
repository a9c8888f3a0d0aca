#include "scheduling/published_row.h"

#include "codecs/domain_backlog_json.h"
#include "codecs/domain_usage_json.h"
#include "codecs/pending_json.h"
#include "contracts/worker_report_builder.h"
#include "scheduling/domain_maintenance.h"
#include "scheduling/domain_term.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/fake_worker_orders.h"
#include "tests/scheduling/sample_jobs.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

using Term = DomainTerm<FakeRowStore, FakeWorkerOrders>;

constexpr std::int64_t kTerm = 2;
constexpr std::int64_t kPayloadBytes = 40'000;
/** Exceed the interval of each row, once and twice. */
constexpr Milliseconds kRound{ 600 };
constexpr Milliseconds kTwoRounds{ 1200 };
const std::vector<StoreFault> kLostAnswers{ StoreFault::kLostApplied,
                                            StoreFault::kLostUnapplied,
                                            StoreFault::kLostLate };

}

/** Rows that the holder publishes, while answers of the store are lost and
 * writes are performed seconds late. */
class PublishedRowTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PublishedRowTest);
  CPPUNIT_TEST(LostAnswerIsFollowedByTheSameValueAgain);
  CPPUNIT_TEST(LateWriteDoesNotReplaceLaterValue);
  CPPUNIT_TEST(EqualValueIsNotWrittenAgain);
  CPPUNIT_TEST(PendingJobsAreRightAfterLostAnswer);
  CPPUNIT_TEST(UsageIsRightAfterLostAnswer);
  CPPUNIT_TEST(BacklogIsRightAfterLostAnswer);
  CPPUNIT_TEST(DeposedHolderPublishesNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->store.Put(kDomainTable, kTermRow, "2"); }

  // Failure: the value returns to the last acknowledged one while the row holds
  // that of a write without an answer.
  void LostAnswerIsFollowedByTheSameValueAgain()
  {
    for (const StoreFault fault : kLostAnswers) {
      const auto term = this->MakeTerm();
      PublishedRow<Term> row(*term, kPendingRow);
      CPPUNIT_ASSERT(this->Store(*term, row, "first"));
      this->store.faults = { fault };
      CPPUNIT_ASSERT(!this->Store(*term, row, "second"));
      CPPUNIT_ASSERT(row.IsDoubtful());
      this->Store(*term, row, "first");
      CPPUNIT_ASSERT(!row.IsDoubtful());
      this->store.ApplyLate();
      CPPUNIT_ASSERT_EQUAL(std::string("first"), this->Stored(kPendingRow));
    }
  }

  // Failure: a write without an answer is performed 2 s late, after a later one
  // that was acknowledged, and the row holds the earlier value for good.
  void LateWriteDoesNotReplaceLaterValue()
  {
    const auto term = this->MakeTerm();
    PublishedRow<Term> row(*term, kPendingRow);
    this->store.faults = { StoreFault::kLostLate, StoreFault::kLostLate };
    this->Store(*term, row, "first");
    this->Store(*term, row, "second");
    CPPUNIT_ASSERT(this->Store(*term, row, "third"));
    this->store.ApplyLate();
    this->store.ApplyLate();
    CPPUNIT_ASSERT_EQUAL(std::string("third"), this->Stored(kPendingRow));
  }

  void EqualValueIsNotWrittenAgain()
  {
    const auto term = this->MakeTerm();
    PublishedRow<Term> row(*term, kPendingRow);
    CPPUNIT_ASSERT(this->Store(*term, row, "value"));
    CPPUNIT_ASSERT(this->Store(*term, row, "value"));
    PublishedRow<Term> next(*term, kPendingRow);
    CPPUNIT_ASSERT(this->Store(*term, next, "value"));
    CPPUNIT_ASSERT_EQUAL(1, this->store.commits);
  }

  // Failure: the count returns to its former value while a write without an
  // answer has stored another one, and all hosts give that one for good.
  void PendingJobsAreRightAfterLostAnswer()
  {
    for (const StoreFault fault : kLostAnswers) {
      const auto term = this->MakeTerm();
      DomainMaintenance<Term> maintenance(*term);
      this->AddJobs(*term, 3, "a");
      term->Spawn([&maintenance] { return maintenance.PublishPending(); });
      this->RunFor(kRound);
      const std::string three = this->Stored(kPendingRow);
      this->store.faults = { fault };
      this->CancelJobs(*term, 3, "a");
      this->store.beforeCommit = [&] { this->AddJobs(*term, 3, "b"); };
      this->RunFor(kTwoRounds);
      this->store.ApplyLate();
      CPPUNIT_ASSERT_EQUAL(EncodePending(term->Domain().Pending()), three);
      CPPUNIT_ASSERT_EQUAL(three, this->Stored(kPendingRow));
      this->End(*term);
    }
  }

  // Failure: as above with the usage, by which hosts refuse jobs.
  void UsageIsRightAfterLostAnswer()
  {
    constexpr int kManyJobs = 300;
    for (const StoreFault fault : kLostAnswers) {
      const auto term = this->MakeTerm();
      DomainMaintenance<Term> maintenance(*term);
      term->Spawn([&maintenance] { return maintenance.PublishUsage(); });
      this->RunFor(kRound);
      this->store.faults = { fault };
      this->AddJobs(*term, kManyJobs, "a", kPayloadBytes);
      this->store.beforeCommit = [&] {
        for (int job = 0; job < kManyJobs; ++job) {
          term->Domain().Archived(JobKey("a" + std::to_string(job)),
                                  Clock::now());
        }
      };
      this->RunFor(kTwoRounds);
      this->store.ApplyLate();
      const TableRow* row = this->store.Find(kDomainTable, kUsageRow);
      Reason reason;
      CPPUNIT_ASSERT(row == nullptr ||
                     DecodeDomainUsage(row->Value(), reason) == DomainUsage());
      this->End(*term);
    }
  }

  // Failure: as above with the backlog, by which hosts refuse jobs.
  void BacklogIsRightAfterLostAnswer()
  {
    for (const StoreFault fault : kLostAnswers) {
      const auto term = this->MakeTerm();
      this->ListAnsweringWorker(*term);
      DomainMaintenance<Term> maintenance(*term);
      term->Spawn([&maintenance] { return maintenance.PublishBacklog(); });
      this->RunFor(kRound);
      this->store.faults = { fault };
      this->AddJobs(*term, 400, "a");
      bool isWritten = false;
      this->store.beforeCommit = [&] {
        isWritten = true;
        this->CancelJobs(*term, 400, "a");
      };
      this->RunFor(kTwoRounds);
      CPPUNIT_ASSERT(isWritten);
      this->store.ApplyLate();
      const TableRow* row = this->store.Find(kDomainTable, kBacklogRow);
      Reason reason;
      CPPUNIT_ASSERT(row == nullptr ||
                     DecodeDomainBacklog(row->Value(), reason)->All().empty());
      this->End(*term);
    }
  }

  void DeposedHolderPublishesNothing()
  {
    const auto term = this->MakeTerm();
    this->store.Put(kDomainTable, kTermRow, "3");
    PublishedRow<Term> row(*term, kPendingRow);
    CPPUNIT_ASSERT(!this->Store(*term, row, "value"));
    CPPUNIT_ASSERT(this->store.Find(kDomainTable, kPendingRow) == nullptr);
  }

private:
  std::shared_ptr<Term> MakeTerm()
  {
    Term::Callbacks callbacks;
    callbacks.exclusiveUntil = [] { return Clock::now() + kTwoRounds; };
    callbacks.deposed = [] {};
    callbacks.metrics = &this->metrics;
    return std::make_shared<Term>(
      this->context,
      this->store,
      this->orders,
      DomainTiming(),
      DomainGain{ kTerm, this->store.Find(kDomainTable, kTermRow)->Revision() },
      callbacks);
  }

  bool Store(Term& aTerm, PublishedRow<Term>& aRow, const std::string& aValue)
  {
    bool isStored = false;
    aTerm.Spawn([&]() -> boost::asio::awaitable<void> {
      std::string value = aValue;
      isStored = co_await aRow.Store(std::move(value));
    });
    this->context.restart();
    this->context.run();
    return isStored;
  }

  std::string Stored(const std::string& aRow) const
  {
    const TableRow* row = this->store.Find(kDomainTable, aRow);
    return row == nullptr ? std::string() : row->Value();
  }

  void RunFor(Milliseconds aTime)
  {
    this->context.restart();
    this->context.run_for(aTime);
  }

  /** Ends the term and lets its loops finish. */
  void End(Term& aTerm)
  {
    aTerm.Stop();
    this->context.restart();
    this->context.run();
  }

  static void AddJobs(Term& aTerm,
                      int aCount,
                      const std::string& aPrefix,
                      std::size_t aPayloadBytes = 1)
  {
    const JobPlan plan = Valid(JobPlanBuilder()
                                 .Payload(std::string(aPayloadBytes, 'p'))
                                 .Steps({ Valid(WholeWorkerGang(1)) }));
    for (int job = 0; job < aCount; ++job) {
      aTerm.Domain().AddJob(Valid(AdmittedJobBuilder()
                                    .Key(JobKey(aPrefix + std::to_string(job)))
                                    .Queue(QueueName("queue-1"))
                                    .Service(ServiceName("fretdesk"))
                                    .Team(TeamName("luthiers"))
                                    .Plan(plan)),
                            std::nullopt,
                            1,
                            Clock::now());
    }
  }

  static void CancelJobs(Term& aTerm, int aCount, const std::string& aPrefix)
  {
    for (int job = 0; job < aCount; ++job) {
      aTerm.Domain().CancelJob(JobKey(aPrefix + std::to_string(job)),
                               Clock::now());
    }
  }

  static void ListAnsweringWorker(Term& aTerm)
  {
    const WorkerName name("w0");
    const Instant now = Clock::now();
    aTerm.Domain().ListWorker(MakeListing(name.Text(), "r0"), now);
    aTerm.Domain().ApplyReport(
      name, Valid(WorkerReportBuilder().Incarnation(1)), now, now);
  }

  boost::asio::io_context context{ 1 };
  FakeRowStore store;
  FakeWorkerOrders orders;
  DomainMetrics metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedRowTest);

}
