#include "scheduling/lease_loop.h"

#include "contracts/domain_timing.h"
#include "tests/scheduling/fake_row_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <exception>
#include <functional>
#include <memory>
#include <utility>

namespace sardinecourse {

namespace {

constexpr Milliseconds kLease{ 400 };
/** Longer than the delays that keep hosts from taking over together. */
constexpr Milliseconds kLongLease{ 2000 };
constexpr Milliseconds kMaxRun{ 5000 };
constexpr Milliseconds kFeedWait{ 5 };

/** A store whose feed waits before it answers, so that several hosts can follow
 * it on one thread. The answer of a transaction can be delayed. */
class WaitingRowStore : public FakeRowStore
{
public:
  /** Called once, between the next transaction and its answer. */
  std::function<void()> beforeAnswer;

  explicit WaitingRowStore(boost::asio::io_context& aContext)
    : context(&aContext)
  {
  }

  boost::asio::awaitable<CommitAnswer> Commit(
    const TableTransaction& aTransaction,
    Reason& aReason)
  {
    CommitAnswer answer =
      co_await this->FakeRowStore::Commit(aTransaction, aReason);
    if (const auto hook = std::exchange(this->beforeAnswer, nullptr)) {
      hook();
      co_await Pause(*this->context, kFeedWait);
    }
    co_return answer;
  }

  boost::asio::awaitable<std::optional<RowPage>> Changes(std::string aTable,
                                                         std::int64_t aAfter,
                                                         Milliseconds aWait,
                                                         Reason& aReason)
  {
    co_await Pause(*this->context, std::min(aWait, kFeedWait));
    auto page = co_await this->FakeRowStore::Changes(
      std::move(aTable), aAfter, aWait, aReason);
    co_return page;
  }

private:
  boost::asio::io_context* context;
};

using Loop = LeaseLoop<WaitingRowStore>;

}

/** Which host takes a scheduling domain over, and with which term. */
class LeaseLoopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseLoopTest);
  CPPUNIT_TEST(TakeoverWithoutOwnerRowKeepsTermsRising);
  CPPUNIT_TEST(TermWithLostAnswerIsReportedOnce);
  CPPUNIT_TEST(HostWithLargestShareTakesOver);
  CPPUNIT_TEST(LostHolderMayRenewLeasesAfterTheTakeover);
  CPPUNIT_TEST(RenewalsThatAreOverAreNotWaitedFor);
  CPPUNIT_TEST(RenewalStoresUntilWhenTheHolderRenews);
  CPPUNIT_TEST(OneHostTakesOverFromLostHolder);
  CPPUNIT_TEST(ReleaseEndsExclusivityBeforeTheHolderLearnsOfIt);
  CPPUNIT_TEST(StopDuringTakeoverReleasesDomain);
  CPPUNIT_TEST(StopDuringTakeoverWithLostAnswerReleasesDomain);
  CPPUNIT_TEST(StopDuringTakeoverThatIsNotStoredReleasesDomain);
  CPPUNIT_TEST(SmallHostTakesReleasedDomainOverAtOnce);
  CPPUNIT_TEST(RefusedReleaseIsRepeated);
  CPPUNIT_TEST(ReleaseWithLostAnswerIsRepeated);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Without any row the feed would read again and again without a wait. */
  void setUp() override { this->store.Put("op", "config", "{}"); }

  /** Workers refuse a term lower than one that they have seen. */
  void TakeoverWithoutOwnerRowKeepsTermsRising()
  {
    this->store.Put(kDomainTable, kTermRow, "7");
    this->Add("a", 1.0);
    this->RunUntilGains(1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, this->lastGain.term);
    CPPUNIT_ASSERT_EQUAL(std::string("8"),
                         this->store.Find(kDomainTable, kTermRow)->Value());
  }

  /** The first transaction names the holder, the second stores the term. */
  void TermWithLostAnswerIsReportedOnce()
  {
    this->store.faults = { StoreFault::kNone, StoreFault::kLostApplied };
    this->Add("a", 1.0);
    this->RunUntilGains(1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, this->lastGain.term);
    CPPUNIT_ASSERT_EQUAL(this->store.Find(kDomainTable, kTermRow)->Revision(),
                         this->lastGain.termRevision);
  }

  void HostWithLargestShareTakesOver()
  {
    this->Add("small", 0.12);
    this->Add("large", 0.5);
    this->Add("middle", 0.25);
    this->RunUntilGains(1);
    CPPUNIT_ASSERT_EQUAL(std::string("large"), this->lastHolder);
  }

  /** A holder that cannot reach the store renews during its grace time. */
  void LostHolderMayRenewLeasesAfterTheTakeover()
  {
    this->PutOwner();
    this->Add("a", 1.0);
    const Instant started = Clock::now();
    this->RunUntilGains(1);
    CPPUNIT_ASSERT(this->lastGain.renewedUntil >=
                   started + kLease + DomainTiming::kRenewalGrace);
  }

  // Failure: all hosts lose power for seconds; the next holder waits for
  // renewals that ended before.
  void RenewalsThatAreOverAreNotWaitedFor()
  {
    this->store.timeMs = 60'000;
    this->store.Put(kLeaseTable,
                    kOwnerRow,
                    R"({"host":"gone","process":"p0","term":3,"renewal":1,)"
                    R"("released":false,"renews_until_ms":20000,)"
                    R"("others_until_ms":10000})");
    this->Add("a", 1.0);
    const Instant started = Clock::now();
    this->RunUntilGains(1);
    CPPUNIT_ASSERT(this->lastGain.renewedUntil <
                   started - Milliseconds(35'000));
  }

  void RenewalStoresUntilWhenTheHolderRenews()
  {
    this->PutOwner();
    this->Add("a", 1.0);
    this->RunUntilGains(1);
    const auto earliest =
      this->store.timeMs + (kLease + DomainTiming::kRenewalGrace).count();
    const DomainOwner taken = this->StoredOwner();
    CPPUNIT_ASSERT(taken.RenewsUntilMs() >= earliest);
    CPPUNIT_ASSERT(taken.OthersUntilMs() >=
                   this->store.timeMs + DomainTiming::kRenewalGrace.count());
    constexpr std::int64_t kLaterMs = 1'000'000;
    this->store.timeMs += kLaterMs;
    this->context.restart();
    this->context.run_for(kLease);
    CPPUNIT_ASSERT(this->StoredOwner().RenewsUntilMs() >= earliest + kLaterMs);
    CPPUNIT_ASSERT_EQUAL(taken.OthersUntilMs(),
                         this->StoredOwner().OthersUntilMs());
  }

  /** All other hosts see the holder's lease expire at the same time. */
  void OneHostTakesOverFromLostHolder()
  {
    this->PutOwner();
    for (const char* host : { "a", "b", "c", "d", "e", "f" }) {
      this->Add(host, 0.12);
    }
    this->RunUntilGains(1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, this->lastGain.term);
    this->context.restart();
    this->context.run_for(2 * kLease);
    CPPUNIT_ASSERT_EQUAL(1, this->gains);
    CPPUNIT_ASSERT_EQUAL(0, this->losses);
  }

  /** A successor can take over as soon as the release is stored, while the
   * thread of the former holder is still busy with a pass. */
  void ReleaseEndsExclusivityBeforeTheHolderLearnsOfIt()
  {
    this->Add("a", 1.0);
    this->RunUntilGains(1);
    Loop& loop = *this->loops.back();
    CPPUNIT_ASSERT(Clock::now() < loop.ExclusiveUntil());
    boost::asio::co_spawn(this->context, loop.Release(), boost::asio::detached);
    this->context.restart();
    this->context.poll();
    CPPUNIT_ASSERT_EQUAL(1, this->losses);
    CPPUNIT_ASSERT(loop.ExclusiveUntil() < Clock::now());
  }

  /** A host with a small share of a core reads renewals with pauses. It paused
   * after a release as well, although no larger host took the domain over. */
  void SmallHostTakesReleasedDomainOverAtOnce()
  {
    constexpr double kSmallShare = 0.2;
    constexpr Milliseconds kShareDelay{ 480 };
    constexpr Milliseconds kMaxHostDelay{ 40 };
    constexpr Milliseconds kSlack{ 300 };
    const std::string owner = R"({"host":"a","process":"p0","term":3,)";
    this->store.Put(
      kLeaseTable, kOwnerRow, owner + R"("renewal":1,"released":false})");
    this->Add("b", kSmallShare, kLongLease);
    this->context.run_for(kFeedWait);
    const Instant releasedAt = Clock::now();
    this->store.Put(
      kLeaseTable, kOwnerRow, owner + R"("renewal":2,"released":true})");
    this->RunUntilGains(1);
    CPPUNIT_ASSERT(Clock::now() < releasedAt + kLongLease / 2 + kShareDelay +
                                    kMaxHostDelay + kSlack);
  }

  /** A host that was told to stop while its takeover was in flight kept the
   * domain until its lease expired, without any holder. */
  void StopDuringTakeoverReleasesDomain()
  {
    this->StopDuringTakeover(StoreFault::kNone);
  }

  /** The takeover took effect, but the host does not know it when it stops. */
  void StopDuringTakeoverWithLostAnswerReleasesDomain()
  {
    this->StopDuringTakeover(StoreFault::kLostApplied);
  }

  /** The takeover can still take effect after the host has stopped, unless the
   * host writes the row once more. */
  void StopDuringTakeoverThatIsNotStoredReleasesDomain()
  {
    this->StopDuringTakeover(StoreFault::kLostUnapplied);
    CPPUNIT_ASSERT(this->store.Find(kLeaseTable, kOwnerRow) != nullptr);
  }

  /** A host whose release was refused by a busy store kept the domain until its
   * lease expired. */
  void RefusedReleaseIsRepeated()
  {
    this->ReleaseWithFault(StoreFault::kNotWritten);
  }

  /** The release was lost on its way, and no other attempt followed. */
  void ReleaseWithLostAnswerIsRepeated()
  {
    this->ReleaseWithFault(StoreFault::kLostUnapplied);
  }

private:
  void PutOwner()
  {
    this->store.Put(kLeaseTable,
                    kOwnerRow,
                    R"({"host":"gone","process":"p0","term":3,"renewal":1,)"
                    R"("released":false})");
  }

  DomainOwner StoredOwner() const
  {
    Reason reason;
    return DecodeDomainOwner(this->store.Find(kLeaseTable, kOwnerRow)->Value(),
                             reason)
      .value();
  }

  void Release(const std::unique_ptr<Loop>& aLoop)
  {
    boost::asio::co_spawn(
      this->context, aLoop->Release(), [this](const std::exception_ptr&) {
        this->isReleased = true;
      });
  }

  void RunUntilReleased()
  {
    const Instant until = Clock::now() + kMaxRun;
    while (!this->isReleased && Clock::now() < until) {
      this->context.restart();
      this->context.run_for(kFeedWait);
    }
    CPPUNIT_ASSERT(this->isReleased);
  }

  /** Whether the store shows that any host may take the domain over. */
  bool IsDomainFree() const
  {
    const TableRow* row = this->store.Find(kLeaseTable, kOwnerRow);
    Reason reason;
    const auto owner =
      row == nullptr ? std::nullopt : DecodeDomainOwner(row->Value(), reason);
    return !owner || owner->IsReleased();
  }

  void StopDuringTakeover(StoreFault aFault)
  {
    this->store.faults = { aFault };
    this->store.beforeAnswer = [this] { this->Release(this->loops.back()); };
    this->Add("a", 1.0);
    this->RunUntilReleased();
    this->context.restart();
    this->context.run_for(kLease / 4);
    CPPUNIT_ASSERT(this->IsDomainFree());
    CPPUNIT_ASSERT_EQUAL(0, this->gains);
    CPPUNIT_ASSERT(this->loops.back()->ExclusiveUntil() < Clock::now());
  }

  void ReleaseWithFault(StoreFault aFault)
  {
    this->Add("a", 1.0);
    this->RunUntilGains(1);
    this->store.faults = { aFault };
    this->Release(this->loops.back());
    this->RunUntilReleased();
    CPPUNIT_ASSERT(this->IsDomainFree());
    CPPUNIT_ASSERT_EQUAL(1, this->losses);
  }

  void Add(const std::string& aHost,
           double aShare,
           Milliseconds aLease = kLease)
  {
    this->loops.push_back(std::make_unique<Loop>(
      this->context,
      this->store,
      HostName(aHost),
      "process of " + aHost,
      aLease,
      aShare,
      Loop::Listener{ [this, aHost](const DomainGain& aGain) {
                       ++this->gains;
                       this->lastGain = aGain;
                       this->lastHolder = aHost;
                     },
                      [this] { ++this->losses; } }));
    boost::asio::co_spawn(
      this->context, this->loops.back()->Run(), boost::asio::detached);
  }

  void RunUntilGains(int aGains)
  {
    const Instant until = Clock::now() + kMaxRun;
    while (this->gains < aGains && Clock::now() < until) {
      this->context.run_for(kFeedWait);
    }
    CPPUNIT_ASSERT_EQUAL(aGains, this->gains);
  }

  boost::asio::io_context context{ 1 };
  WaitingRowStore store{ context };
  std::vector<std::unique_ptr<Loop>> loops;
  int gains = 0;
  int losses = 0;
  bool isReleased = false;
  DomainGain lastGain;
  std::string lastHolder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseLoopTest);

}
