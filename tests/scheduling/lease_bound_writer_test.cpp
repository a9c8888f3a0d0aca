#include "scheduling/lease_bound_writer.h"

#include "contracts/worker_report_builder.h"
#include "scheduling/domain_term.h"
#include "tests/scheduling/fake_row_store.h"
#include "tests/scheduling/fake_worker_orders.h"
#include "tests/scheduling/sample_jobs.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

using Term = DomainTerm<FakeRowStore, FakeWorkerOrders>;

const WorkerName kWorker("w0");
constexpr std::int64_t kTerm = 2;
constexpr Milliseconds kRunTime{ 400 };

}

/** The row that holds the bounds of leases on unreachable workers, while
 * answers of the store are lost. */
class LeaseBoundWriterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseBoundWriterTest);
  CPPUNIT_TEST(BoundOfUnreachableWorkerReachesTheNextHolder);
  CPPUNIT_TEST(LateWriteDoesNotRestoreWithdrawnBound);
  CPPUNIT_TEST(DeposedHolderStoresNoBound);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->store.Put(kDomainTable, kTermRow, "2"); }

  void BoundOfUnreachableWorkerReachesTheNextHolder()
  {
    this->Run(*this->MakeTerm());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->StoredBounds().size());
    const auto next = this->MakeTerm();
    LeaseBoundWriter<Term> writer(*next);
    boost::asio::co_spawn(
      this->context,
      [&writer]() -> boost::asio::awaitable<void> {
        Reason reason;
        co_await writer.Load(reason);
      },
      boost::asio::detached);
    this->context.restart();
    this->context.run_for(kRunTime);
    CPPUNIT_ASSERT(next->Domain().FindWorker(kWorker)->IsWithheld());
  }

  void LateWriteDoesNotRestoreWithdrawnBound()
  {
    const auto term = this->MakeTerm();
    this->store.faults = { StoreFault::kLostLate };
    this->store.beforeReads.push_back([] {});
    this->store.beforeReads.push_back([&term] { Answer(*term); });
    this->Run(*term);
    this->store.ApplyLate();
    CPPUNIT_ASSERT(this->StoredBounds().empty());
    CPPUNIT_ASSERT(!term->Domain().FindWorker(kWorker)->IsWithheld());
  }

  void DeposedHolderStoresNoBound()
  {
    const auto term = this->MakeTerm();
    this->store.Put(kDomainTable, kTermRow, "3");
    this->Run(*term);
    CPPUNIT_ASSERT(this->store.Find(kDomainTable, kLeaseBoundsRow) == nullptr);
  }

private:
  /** A term whose only worker runs a task and does not answer. */
  std::shared_ptr<Term> MakeTerm()
  {
    Term::Callbacks callbacks;
    callbacks.exclusiveUntil = [] { return Clock::now() + kRunTime; };
    callbacks.deposed = [] {};
    callbacks.metrics = &this->metrics;
    DomainGain gain{ kTerm,
                     this->store.Find(kDomainTable, kTermRow)->Revision() };
    gain.renewedUntil = Clock::now();
    gain.boundsKeptSince = 1;
    auto made = std::make_shared<Term>(this->context,
                                       this->store,
                                       this->orders,
                                       DomainTiming(),
                                       gain,
                                       callbacks);
    const Instant now = Clock::now();
    made->Domain().ListWorker(MakeListing(kWorker.Text(), "r0"), now);
    made->Domain().AddJob(
      MakeAdmitted("j", 1, { Valid(QuarterStep(1)) }), std::nullopt, 1, now);
    TrackedJob& job = *made->Domain().FindJob(JobKey("j"));
    made->Domain().StartRun(job, job.Open(0), { kWorker }, now);
    made->Domain().UnlistWorker(kWorker);
    return made;
  }

  static void Answer(Term& aTerm)
  {
    const Instant now = Clock::now();
    aTerm.Domain().ApplyReport(
      kWorker, Valid(WorkerReportBuilder().Incarnation(1)), now, now);
  }

  void Run(Term& aTerm)
  {
    LeaseBoundWriter<Term> writer(aTerm);
    boost::asio::co_spawn(
      this->context,
      [&writer]() -> boost::asio::awaitable<void> { co_await writer.Run(); },
      boost::asio::detached);
    this->context.restart();
    this->context.run_for(kRunTime);
    aTerm.Stop();
    this->context.restart();
    this->context.run_for(kRunTime);
  }

  LeaseBounds StoredBounds() const
  {
    Reason reason;
    return DecodeLeaseBounds(
             this->store.Find(kDomainTable, kLeaseBoundsRow)->Value(), reason)
      .value_or(LeaseBounds());
  }

  boost::asio::io_context context;
  FakeRowStore store;
  FakeWorkerOrders orders;
  DomainMetrics metrics;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundWriterTest);

}
