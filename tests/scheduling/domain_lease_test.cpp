#include "zones/domain_lease.h"

#include "contracts/domain_owner_builder.h"
#include "contracts/domain_timing.h"
#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr Milliseconds kLength{ 3000 };
constexpr int kHosts = 3;
constexpr int kRounds = 30;

Instant
At(std::int64_t aMs)
{
  return Instant(Milliseconds(aMs));
}

/** One action of one host: it reads the row, or writes it with or without
 * losing the answer, or its process restarts. */
struct Action
{
  int host = 0;
  int kind = 0;
  int pauseMs = 0;
  bool isLost = false;
};

void
showValue(const Action& aAction, std::ostream& aTo)
{
  aTo << '{' << aAction.host << ' ' << aAction.kind << ' ' << aAction.pauseMs
      << ' ' << aAction.isLost << '}';
}

rc::Gen<Action>
GenAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::host, rc::gen::inRange(0, kHosts)),
    rc::gen::set(&Action::kind, rc::gen::inRange(0, 8)),
    rc::gen::set(&Action::pauseMs, rc::gen::inRange(0, 1500)),
    rc::gen::set(&Action::isLost, rc::gen::arbitrary<bool>()));
}

/** Clock of the store, which has nothing in common with the hosts' clocks. */
StoreClock
ReadStoreClock(std::int64_t aNowMs)
{
  constexpr std::int64_t kStoreEpochMs = 77'000'000;
  return StoreClock(kStoreEpochMs + aNowMs, At(aNowMs), At(aNowMs));
}

/** Model of the row and of every host's view of it. */
class LeaseModel
{
public:
  LeaseModel()
  {
    for (int host = 0; host < kHosts; ++host) {
      this->Restart(host);
    }
  }

  void Apply(const Action& aAction)
  {
    this->nowMs += aAction.pauseMs;
    const bool isRestart = aAction.kind == 0;
    const bool isWrite = aAction.kind >= 4;
    if (isRestart) {
      this->Restart(aAction.host);
    } else if (isWrite && this->holds[aAction.host]) {
      this->Renew(aAction.host, aAction.isLost);
    } else if (isWrite) {
      this->TakeOver(aAction.host, aAction.isLost);
    } else {
      this->ReadRow(aAction.host);
    }
    this->CheckExclusivity();
  }

private:
  void Restart(int aHost)
  {
    this->StopRenewing(aHost);
    this->leases.insert_or_assign(
      aHost,
      DomainLease(HostName("h" + std::to_string(aHost)),
                  "p" + std::to_string(++this->processes),
                  kLength));
  }

  void ReadRow(int aHost)
  {
    DomainLease& lease = this->leases.at(aHost);
    // A holder that reads another holder's row stops being the holder.
    if (this->holds[aHost] && !lease.IsSameHolder(*this->row)) {
      this->StopRenewing(aHost);
    }
    lease = lease.RowObserved(this->row, this->revision, At(this->nowMs))
              .StoreClockRead(ReadStoreClock(this->nowMs));
  }

  bool Write(int aHost, const DomainOwner& aRow, bool aIsLost)
  {
    DomainLease& lease = this->leases.at(aHost);
    if (lease.Revision() != this->revision) {
      this->StopRenewing(aHost);
      return false;
    }
    this->row = aRow;
    ++this->revision;
    if (!aIsLost) {
      lease = lease.RowWritten(aRow, this->revision, At(this->nowMs));
    }
    return !aIsLost;
  }

  void Renew(int aHost, bool aIsLost)
  {
    const auto next = this->leases.at(aHost).RenewalRow(false, At(this->nowMs));
    this->Write(aHost, *next, aIsLost);
  }

  void TakeOver(int aHost, bool aIsLost)
  {
    if (At(this->nowMs) < this->leases.at(aHost).TakeoverTime()) {
      return;
    }
    const auto next = this->leases.at(aHost).TakeoverRow(At(this->nowMs));
    const std::int64_t term = this->row ? this->row->Term() : 0;
    const Instant renewedUntil =
      this->leases.at(aHost).RenewedUntil(At(this->nowMs));
    if (this->Write(aHost, *next, aIsLost)) {
      RC_ASSERT(next->Term() > term);
      this->CheckRenewals(renewedUntil);
      this->holds[aHost] = true;
    }
  }

  /** When a holder renews a worker's lease for the last time. */
  Instant LastRenewal(int aHost) const
  {
    return this->leases.at(aHost).ExclusiveUntil() +
           DomainTiming::kRenewalGrace;
  }

  void StopRenewing(int aHost)
  {
    if (this->holds[aHost]) {
      this->lastRenewal = std::max(
        this->lastRenewal, std::min(this->LastRenewal(aHost), At(this->nowMs)));
    }
    this->holds[aHost] = false;
  }

  /** The next holder must wait for the leases that any holder before it has
   * renewed, or will renew because it has not learned of the takeover. */
  void CheckRenewals(Instant aRenewedUntil) const
  {
    RC_ASSERT(aRenewedUntil >= this->lastRenewal);
    for (const auto& [host, lease] : this->leases) {
      RC_ASSERT(!this->holds.at(host) ||
                aRenewedUntil >= this->LastRenewal(host));
    }
  }

  /** Several processes may consider themselves the holder, but the exclusive
   * lease of at most one of them is in force. */
  void CheckExclusivity() const
  {
    int exclusiveHolders = 0;
    for (const auto& [host, lease] : this->leases) {
      exclusiveHolders +=
        this->holds.at(host) && At(this->nowMs) < lease.ExclusiveUntil() ? 1
                                                                         : 0;
    }
    RC_ASSERT(exclusiveHolders <= 1);
  }

  std::int64_t nowMs = 100'000;
  int processes = 0;
  std::optional<DomainOwner> row;
  std::int64_t revision = 0;
  std::map<int, DomainLease> leases;
  std::map<int, bool> holds;
  /** The last renewal of a worker's lease by holders that have stopped. */
  Instant lastRenewal{};
};

}

/** Checks that no history of reads, writes, lost answers and restarts gives two
 * processes an exclusive lease at the same time, that terms only grow, and that
 * a holder waits for the renewals of all holders before it. */
class DomainLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainLeaseTest);
  CPPUNIT_TEST(AtMostOneProcessHasExclusiveLease);
  CPPUNIT_TEST(ReleasedDomainCanBeTakenOverAtOnce);
  CPPUNIT_TEST(ReleasedHolderRenewsNoLeaseAfterTheTakeover);
  CPPUNIT_TEST(ReleaseSoonAfterATakeoverKeepsTheGraceOfTheHolderBefore);
  CPPUNIT_TEST(BoundsCountFromTheHolderAfterAnOlderBuild);
  CPPUNIT_TEST(HolderGetsGraceToRenewAfterStoreOutage);
  CPPUNIT_TEST(RenewalsOfHolderBeforeAPowerCutAreOver);
  CPPUNIT_TEST(RenewalsOfExitedProcessAreOver);
  CPPUNIT_TEST(HolderBeforeAnExitedProcessMayStillRenew);
  CPPUNIT_TEST(RowWithoutRenewalTimesKeepsTheGrace);
  CPPUNIT_TEST_SUITE_END();

public:
  void AtMostOneProcessHasExclusiveLease()
  {
    for (int round = 0; round < kRounds; ++round) {
      CPPUNIT_ASSERT(rc::check("a domain's lease", [] {
        const auto actions =
          *rc::gen::container<std::vector<Action>>(GenAction());
        LeaseModel model;
        for (const Action& action : actions) {
          model.Apply(action);
        }
      }));
    }
  }

  void ReleasedDomainCanBeTakenOverAtOnce()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row =
      holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow(At(0));
    const auto released =
      holder.RowWritten(*row, 1, At(0)).RenewalRow(true, At(0));
    const DomainLease other = DomainLease(HostName("b"), "p2", kLength)
                                .RowObserved(released, 2, At(10));
    CPPUNIT_ASSERT(other.TakeoverTime() <= At(10));
    const DomainLease early =
      DomainLease(HostName("b"), "p2", kLength).RowObserved(row, 1, At(10));
    CPPUNIT_ASSERT(early.TakeoverTime() > At(10) + kLength);
  }

  // Failure: after a planned stop of the holder, runs on a worker that is gone
  // wait for renewals that nobody sends.
  void ReleasedHolderRenewsNoLeaseAfterTheTakeover()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row =
      holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow(At(0));
    const auto released =
      holder.RowWritten(*row, 1, At(0)).RenewalRow(true, At(0));
    const DomainLease held =
      DomainLease(HostName("b"), "p2", kLength).RowObserved(row, 1, At(10));
    const Instant takeover = At(10'000);
    CPPUNIT_ASSERT(held.RenewedUntil(takeover) ==
                   takeover + DomainTiming::kRenewalGrace);
    CPPUNIT_ASSERT(
      held.RowObserved(released, 2, takeover).RenewedUntil(takeover) ==
      takeover);
  }

  // Failure: a holder that was lost renews leases during its grace time, while
  // its successor has already been stopped and a third one waits for no more
  // renewals: a run is started twice.
  void ReleaseSoonAfterATakeoverKeepsTheGraceOfTheHolderBefore()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row =
      holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow(At(0));
    const auto released =
      holder.RowWritten(*row, 1, At(0)).RenewalRow(true, At(0));
    const DomainLease third(HostName("c"), "p3", kLength);
    const Instant takeover = At(1000);
    CPPUNIT_ASSERT(third.RowObserved(row, 1, At(10))
                     .RowObserved(released, 2, takeover)
                     .RenewedUntil(takeover) ==
                   At(10) + DomainTiming::kRenewalGrace);
    CPPUNIT_ASSERT(
      third.RowObserved(released, 2, takeover).RenewedUntil(takeover) ==
      takeover + DomainTiming::kRenewalGrace);
  }

  // Failure: a holder of an earlier build grants leases in spite of a stored
  // bound, and the holder after it relies on that bound.
  void BoundsCountFromTheHolderAfterAnOlderBuild()
  {
    DomainLease lease(HostName("a"), "p1", kLength);
    const auto first =
      lease.RowObserved(std::nullopt, 0, At(0)).TakeoverRow(At(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, first->BoundsKeptSince());
    const auto second = lease.RowObserved(first, 1, At(0)).TakeoverRow(At(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, second->BoundsKeptSince());
    Reason reason;
    const auto older =
      DomainOwnerBuilder().Host(HostName("b")).Term(3).Build(reason);
    const auto fourth = lease.RowObserved(older, 2, At(0)).TakeoverRow(At(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, fourth->BoundsKeptSince());
    const auto renewed =
      lease.RowWritten(*fourth, 3, At(0)).RenewalRow(true, At(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, renewed->BoundsKeptSince());
  }

  void HolderGetsGraceToRenewAfterStoreOutage()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row =
      holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow(At(0));
    const DomainLease other =
      DomainLease(HostName("b"), "p2", kLength).RowObserved(row, 1, At(10));
    const Instant recovered = At(10'000);
    CPPUNIT_ASSERT(other.TakeoverTime() < recovered);
    CPPUNIT_ASSERT(other.StoreRegained(recovered).TakeoverTime() > recovered);
  }

  // Failure: all hosts lose power; the next holder counts the grace time from
  // its own takeover, long after the last renewal.
  void RenewalsOfHolderBeforeAPowerCutAreOver()
  {
    const auto row = FirstRow();
    const std::int64_t takeoverMs = 10'000;
    const DomainLease next = DomainLease(HostName("b"), "p2", kLength)
                               .StoreClockRead(ReadStoreClock(takeoverMs))
                               .RowObserved(row, 1, At(takeoverMs));
    CPPUNIT_ASSERT(next.RenewedUntil(At(takeoverMs)) <
                   At(0) + kLength + DomainTiming::kRenewalGrace + kClockError);
    CPPUNIT_ASSERT(next.RenewedUntil(At(takeoverMs)) >=
                   At(0) + kLength + DomainTiming::kRenewalGrace);
  }

  // Failure: the holder is killed and restarts; it waits for renewals by its
  // earlier process.
  void RenewalsOfExitedProcessAreOver()
  {
    const auto row = FirstRow();
    const DomainLease restarted = DomainLease(HostName("a"), "p2", kLength)
                                    .StoreClockRead(ReadStoreClock(5000))
                                    .RowObserved(row, 1, At(5000));
    CPPUNIT_ASSERT(restarted.RenewedUntil(At(5100)) == At(5000));
  }

  // Failure: a holder that was lost renews in its grace time, while the next
  // one is killed soon after its takeover, restarts and waits for neither.
  void HolderBeforeAnExitedProcessMayStillRenew()
  {
    constexpr std::int64_t kTakeoverMs = 3200;
    const auto row = FirstRow();
    const DomainLease second = DomainLease(HostName("b"), "p2", kLength)
                                 .StoreClockRead(ReadStoreClock(0))
                                 .RowObserved(row, 1, At(0));
    const auto secondRow = second.TakeoverRow(At(kTakeoverMs));
    const DomainLease restarted = DomainLease(HostName("b"), "p3", kLength)
                                    .StoreClockRead(ReadStoreClock(4000))
                                    .RowObserved(secondRow, 2, At(4000));
    CPPUNIT_ASSERT(restarted.RenewedUntil(At(4000)) >=
                   At(0) + kLength + DomainTiming::kRenewalGrace);
  }

  // Failure: a holder of an earlier build writes no times, and the next one
  // takes them for past.
  void RowWithoutRenewalTimesKeepsTheGrace()
  {
    Reason reason;
    const auto row =
      DomainOwnerBuilder().Host(HostName("a")).Term(1).Build(reason);
    const DomainLease next = DomainLease(HostName("b"), "p2", kLength)
                               .StoreClockRead(ReadStoreClock(5000))
                               .RowObserved(row, 1, At(5000));
    CPPUNIT_ASSERT(next.RenewedUntil(At(9000)) ==
                   At(9000) + DomainTiming::kRenewalGrace);
    const auto nextRow = next.TakeoverRow(At(9000));
    CPPUNIT_ASSERT(ReadStoreClock(9000).ReachedBy(nextRow->OthersUntilMs()) >=
                   At(9000) + DomainTiming::kRenewalGrace);
  }

private:
  /** Covers the stretched conversions between clocks. */
  static constexpr Milliseconds kClockError{ 400 };

  /** The row of the first holder, host "a", which took over at 0. */
  static std::optional<DomainOwner> FirstRow()
  {
    return DomainLease(HostName("a"), "p1", kLength)
      .StoreClockRead(ReadStoreClock(0))
      .RowObserved(std::nullopt, 0, At(0))
      .TakeoverRow(At(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainLeaseTest);

}
