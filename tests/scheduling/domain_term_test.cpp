#include "scheduling/domain_term.h"

#include "codecs/job_progress_json.h"
#include "contracts/job_progress_builder.h"
#include "contracts/job_queue_builder.h"
#include "contracts/service_catalog_builder.h"
#include "platform/schema.h"
#include "scheduling/domain_feeds.h"
#include "scheduling/domain_holder.h"
#include "scheduling/domain_maintenance.h"
#include "scheduling/order_sender.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/fake_worker_orders.h"
#include "tests/scheduling/sample_jobs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace sardinecourse {

namespace {

constexpr std::int64_t kTerm = 2;
constexpr std::int64_t kTermRevision = 7;
const JobKey kJob("j");
const WorkerName kWorker("w0");

using Term = DomainTerm<FakeRowStore, FakeWorkerOrders>;
using Holder = DomainHolder<FakeRowStore, FakeWorkerOrders, platform::Schema>;

std::string
WorkerEntry(const std::string& aAddress, const std::string& aOther)
{
  return R"({"Service":"fretdesk","Addr":")" + aAddress +
         R"(","Zone":"a","State":"ready","Capacity":{"Cpu":64000,)"
         R"("MemMb":131072,"Gpu":8})" +
         aOther + "}";
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

}

/** What a term does when its lease has expired, when one of its loops fails,
 * and when the store holds rows that it cannot use. */
class DomainTermTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainTermTest);
  CPPUNIT_TEST(HolderSuspendedPastItsLeaseStartsNothing);
  CPPUNIT_TEST(ExceptionInLoopEndsTermOnly);
  CPPUNIT_TEST(ExceptionInPassEndsTermOnly);
  CPPUNIT_TEST(OddWorkerEntriesAreSkipped);
  CPPUNIT_TEST(JobArchivedBetweenReadsIsNotLoaded);
  CPPUNIT_TEST(StoredJobWithOverflowingCountsIsSkipped);
  CPPUNIT_TEST(UsageIsStoredWhileRoomIsScarce);
  CPPUNIT_TEST(UsageRowIsKeptWhenThereIsRoomAgain);
  CPPUNIT_TEST(PendingJobCountsAtRenamedQueue);
  CPPUNIT_TEST_SUITE_END();

public:
  /** A holder that is suspended between the store's answer and the order finds
   * its lease expired when it continues. */
  void HolderSuspendedPastItsLeaseStartsNothing()
  {
    for (const bool isExpired : { true, false }) {
      const auto term = this->MakeTerm();
      term->Domain().ListWorker(MakeListing(kWorker.Text(), "r0"),
                                Clock::now());
      term->Domain().AddJob(
        MakeAdmitted(kJob.Text(), 1, { Valid(QuarterStep(1)) }),
        std::nullopt,
        1,
        Clock::now());
      TrackedJob& job = *term->Domain().FindJob(kJob);
      OrderSender<Term> sender(*term);
      sender.Stage(
        term->Domain().StartRun(job, job.Open(0), { kWorker }, Clock::now()));
      job.MarkStored(job.Version(), kTermRevision);
      this->exclusiveUntil =
        Clock::now() + (isExpired ? Milliseconds(-1) : Milliseconds(5000));
      sender.SendStored();
      this->Run();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ isExpired ? 0U : 1U },
                           this->orders.starts.size());
    }
  }

  void ExceptionInLoopEndsTermOnly()
  {
    const auto term = this->MakeTerm();
    term->Spawn([]() -> boost::asio::awaitable<void> {
      throw std::runtime_error("unexpected");
      co_return;
    });
    this->Run();
    CPPUNIT_ASSERT(!term->IsActive());
    CPPUNIT_ASSERT_EQUAL(1, this->depositions);
  }

  /** An exception in a scheduling pass ended the process, and with it the
   * callers' requests. */
  void ExceptionInPassEndsTermOnly()
  {
    const auto term = this->MakeTerm();
    term->SetPassHandler([] { throw std::runtime_error("unexpected"); });
    term->RequestPass();
    this->Run();
    CPPUNIT_ASSERT(!term->IsActive());
    CPPUNIT_ASSERT_EQUAL(1, this->depositions);
  }

  /** Another writer's entry must neither end the process nor hide the other
   * workers. */
  void OddWorkerEntriesAreSkipped()
  {
    const std::string good = "127.0.0.1:1";
    const std::string hugeNumbers =
      R"({"Service":"s","Addr":"127.0.0.1:1","State":"ready",)"
      R"("Capacity":{"Cpu":-1,"MemMb":1e300,"Gpu":9223372036854775807}})";
    const std::vector<std::string> odd{
      WorkerEntry(good, R"(,"x":)" + Nested(100'000)),
      Nested(100'000),
      WorkerEntry(good, R"(,"Slots":1e400)"),
      WorkerEntry("127.0.0.1:70000", ""),
      WorkerEntry("127.0.0.1:-1", ""),
      WorkerEntry("127.0.0.1:99999999999999999999", ""),
      R"({"Service":7,"Addr":[],"Zone":{},"State":"ready","Capacity":-1})",
      hugeNumbers,
      R"("text")",
      "17",
      "",
      "\xff\xfe",
      std::string(1'000'000, 'x')
    };
    for (std::size_t entry = 0; entry < odd.size(); ++entry) {
      this->store.Put(
        platform::kWorkerTable, "odd" + std::to_string(entry), odd[entry]);
    }
    this->store.Put(
      platform::kWorkerTable, kWorker.Text(), WorkerEntry(good, ""));
    const auto term = this->MakeTerm();
    CPPUNIT_ASSERT(this->Load(*term));
    CPPUNIT_ASSERT(term->Domain().FindWorker(kWorker) != nullptr);
    for (const auto& [name, worker] : term->Domain().Workers()) {
      CPPUNIT_ASSERT(worker.Listing().Capacity().MilliCores() >= 0);
    }
    CPPUNIT_ASSERT_EQUAL(0, this->depositions);
  }

  /** A holder that reads the jobs before their progress can miss the progress
   * of a job that another holder archives in between. Taken for new, the job
   * would run again. */
  void JobArchivedBetweenReadsIsNotLoaded()
  {
    this->store.Put(
      kJobTable,
      "gone",
      EncodeAdmittedJob(MakeAdmitted("gone", 1, { Valid(QuarterStep(1)) })));
    this->store.Put(kJobTable,
                    kJob.Text(),
                    EncodeAdmittedJob(
                      MakeAdmitted(kJob.Text(), 1, { Valid(QuarterStep(1)) })));
    this->store.Put(kProgressTable,
                    kJob.Text(),
                    EncodeJobProgress(
                      Valid(JobProgressBuilder().Queue(QueueName("queue-1")))));
    const auto term = this->MakeTerm();
    CPPUNIT_ASSERT(this->Load(*term));
    CPPUNIT_ASSERT(term->Domain().FindJob(kJob) != nullptr);
    CPPUNIT_ASSERT(term->Domain().FindJob(JobKey("gone")) == nullptr);
  }

  /** An earlier version accepted a job whose number of units overflows. Each
   * holder that loaded it exceeded its memory, and nothing ran any more. */
  void StoredJobWithOverflowingCountsIsSkipped()
  {
    const JobStep step = Valid(QuarterStep(1));
    std::string stored =
      EncodeAdmittedJob(MakeAdmitted("huge", 1, { step, step, step, step }));
    for (const std::string field : { "\"count\":1", "\"occurrences\":1" }) {
      for (std::size_t at = stored.find(field); at != std::string::npos;
           at = stored.find(field, at + field.size())) {
        stored.replace(at + field.size() - 1, 1, "2147483647");
      }
    }
    const std::string progress = EncodeJobProgress(
      Valid(JobProgressBuilder().Queue(QueueName("queue-1"))));
    this->store.Put(kJobTable, "huge", stored);
    this->store.Put(kProgressTable, "huge", progress);
    this->store.Put(kJobTable,
                    kJob.Text(),
                    EncodeAdmittedJob(
                      MakeAdmitted(kJob.Text(), 1, { Valid(QuarterStep(1)) })));
    this->store.Put(kProgressTable, kJob.Text(), progress);
    const auto term = this->MakeTerm();
    CPPUNIT_ASSERT(this->Load(*term));
    CPPUNIT_ASSERT(term->Domain().FindJob(kJob) != nullptr);
    CPPUNIT_ASSERT(term->Domain().FindJob(JobKey("huge")) == nullptr);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t{ 1 },
      this->metrics.CountOf(DomainMetrics::Event::kJobNotLoaded));
  }

  /** Hosts would refuse jobs by the usage of an earlier holder ever after. */
  void UsageIsStoredWhileRoomIsScarce()
  {
    this->store.Put(kDomainTable, kTermRow, "2");
    this->PublishUsageOf(0);
    CPPUNIT_ASSERT(this->store.Find(kDomainTable, kUsageRow) == nullptr);
    this->PublishUsageOf(kManyJobs);
    CPPUNIT_ASSERT(this->StoredUsage().Bytes() >= kManyJobs * kPayloadBytes);
    this->PublishUsageOf(0);
    CPPUNIT_ASSERT(this->StoredUsage() == DomainUsage());
  }

  /** An admission that the store performs late requires that the row has no
   * revision yet. Had the row been deleted meanwhile, a job would run that its
   * caller was told had not been accepted. */
  void UsageRowIsKeptWhenThereIsRoomAgain()
  {
    this->store.Put(kDomainTable, kTermRow, "2");
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kDomainTable, kUsageRow, 0);
    AddWrite(writes, kJobTable, "late", "job");
    const TableTransaction admission =
      MakeTransaction(std::move(checks), std::move(writes));
    this->store.faults = { StoreFault::kLostLate };
    boost::asio::co_spawn(
      this->context,
      [&]() -> boost::asio::awaitable<void> {
        Reason reason;
        co_await this->store.Commit(admission, reason);
      },
      boost::asio::detached);
    this->Run();
    this->PublishUsageOf(kManyJobs);
    this->PublishUsageOf(0);
    CPPUNIT_ASSERT(this->store.HasLate());
    this->store.ApplyLate();
    CPPUNIT_ASSERT(this->store.Find(kJobTable, "late") == nullptr);
  }

  /** The route of a waiting job gets another name, under which callers ask for
   * its pending jobs from then on; none was counted there. */
  void PendingJobCountsAtRenamedQueue()
  {
    const auto holder =
      std::make_shared<Holder>(this->context,
                               this->store,
                               this->orders,
                               DomainTiming(),
                               DomainPolicy(),
                               DomainGain{ kTerm, kTermRevision },
                               this->MakeCallbacks());
    holder->Domain().AddJob(
      MakeAdmitted(kJob.Text(), 1, { Valid(QuarterStep(1)) }),
      std::nullopt,
      1,
      Clock::now());
    for (const char* name : { "queue-1", "renamed" }) {
      const JobQueue queue = Valid(JobQueueBuilder()
                                     .Name(QueueName(name))
                                     .Authority("a.example")
                                     .PathPrefix("/queue-1/")
                                     .Service(ServiceName("fretdesk")));
      holder->Adopt(
        Valid(ServiceCatalogBuilder().Version(1).Queues({ queue })));
      const auto pending = holder->Domain().Pending();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, pending.size());
      CPPUNIT_ASSERT_EQUAL(std::string(name), pending.begin()->first.Text());
    }
    holder->Stop();
  }

private:
  static constexpr std::int64_t kManyJobs = 300;
  static constexpr std::int64_t kPayloadBytes = 40'000;

  /** Has a new holder with this number of large jobs publish their usage. */
  void PublishUsageOf(std::int64_t aJobs)
  {
    const auto term = this->MakeTerm();
    const JobPlan plan = Valid(JobPlanBuilder()
                                 .Payload(std::string(kPayloadBytes, 'p'))
                                 .Steps({ Valid(QuarterStep(1)) }));
    for (std::int64_t job = 0; job < aJobs; ++job) {
      term->Domain().AddJob(Valid(AdmittedJobBuilder()
                                    .Key(JobKey(std::to_string(job)))
                                    .Queue(QueueName("queue-1"))
                                    .Service(ServiceName("fretdesk"))
                                    .Team(TeamName("luthiers"))
                                    .Plan(plan)),
                            std::nullopt,
                            1,
                            Clock::now());
    }
    DomainMaintenance<Term> maintenance(*term);
    term->Spawn([&maintenance] { return maintenance.PublishUsage(); });
    boost::asio::steady_timer timer(this->context, Milliseconds(50));
    timer.async_wait(
      [&term](const boost::system::error_code&) { term->Stop(); });
    this->Run();
  }

  DomainUsage StoredUsage() const
  {
    const TableRow* row = this->store.Find(kDomainTable, kUsageRow);
    CPPUNIT_ASSERT(row != nullptr);
    Reason reason;
    return DecodeDomainUsage(row->Value(), reason).value();
  }

  Term::Callbacks MakeCallbacks()
  {
    Term::Callbacks made;
    made.exclusiveUntil = [this] { return this->exclusiveUntil; };
    made.deposed = [this] { ++this->depositions; };
    made.metrics = &this->metrics;
    return made;
  }

  std::shared_ptr<Term> MakeTerm()
  {
    return std::make_shared<Term>(this->context,
                                  this->store,
                                  this->orders,
                                  DomainTiming(),
                                  DomainGain{ kTerm, this->TermRevision() },
                                  this->MakeCallbacks());
  }

  std::int64_t TermRevision() const
  {
    const TableRow* row = this->store.Find(kDomainTable, kTermRow);
    return row == nullptr ? kTermRevision : row->Revision();
  }

  void Run()
  {
    this->context.restart();
    this->context.run();
  }

  /** Loads the domain and ends the term, so that its polls end too. */
  bool Load(Term& aTerm)
  {
    WorkerPoller<Term> poller(aTerm);
    DomainFeeds<Term, platform::Schema> feeds(aTerm, poller);
    bool isLoaded = false;
    aTerm.Spawn([&]() -> boost::asio::awaitable<void> {
      Reason reason;
      isLoaded = co_await feeds.Load(reason);
      aTerm.Stop();
    });
    this->Run();
    return isLoaded;
  }

  boost::asio::io_context context{ 1 };
  FakeRowStore store;
  FakeWorkerOrders orders;
  DomainMetrics metrics;
  Instant exclusiveUntil = Clock::now() + Milliseconds(60'000);
  int depositions = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainTermTest);

}
