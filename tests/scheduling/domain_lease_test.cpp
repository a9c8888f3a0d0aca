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
    this->holds[aHost] = false;
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
      this->holds[aHost] = false;
    }
    lease = lease.RowObserved(this->row, this->revision, At(this->nowMs));
  }

  bool Write(int aHost, const DomainOwner& aRow, bool aIsLost)
  {
    DomainLease& lease = this->leases.at(aHost);
    if (lease.Revision() != this->revision) {
      this->holds[aHost] = false;
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
    const auto next = this->leases.at(aHost).RenewalRow(false);
    this->Write(aHost, *next, aIsLost);
  }

  void TakeOver(int aHost, bool aIsLost)
  {
    if (At(this->nowMs) < this->leases.at(aHost).TakeoverTime()) {
      return;
    }
    const auto next = this->leases.at(aHost).TakeoverRow();
    const std::int64_t term = this->row ? this->row->Term() : 0;
    if (this->Write(aHost, *next, aIsLost)) {
      RC_ASSERT(next->Term() > term);
      this->holds[aHost] = true;
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
};

}

/** Checks that no history of reads, writes, lost answers and restarts gives two
 * processes an exclusive lease at the same time, and that terms only grow. */
class DomainLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainLeaseTest);
  CPPUNIT_TEST(AtMostOneProcessHasExclusiveLease);
  CPPUNIT_TEST(ReleasedDomainCanBeTakenOverAtOnce);
  CPPUNIT_TEST(ReleasedHolderRenewsNoLeaseAfterTheTakeover);
  CPPUNIT_TEST(ReleaseSoonAfterATakeoverKeepsTheGraceOfTheHolderBefore);
  CPPUNIT_TEST(BoundsCountFromTheHolderAfterAnOlderBuild);
  CPPUNIT_TEST(HolderGetsGraceToRenewAfterStoreOutage);
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
    const auto row = holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    const auto released = holder.RowWritten(*row, 1, At(0)).RenewalRow(true);
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
    const auto row = holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    const auto released = holder.RowWritten(*row, 1, At(0)).RenewalRow(true);
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
    const auto row = holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    const auto released = holder.RowWritten(*row, 1, At(0)).RenewalRow(true);
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
    const auto first = lease.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, first->BoundsKeptSince());
    const auto second = lease.RowObserved(first, 1, At(0)).TakeoverRow();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, second->BoundsKeptSince());
    Reason reason;
    const auto older =
      DomainOwnerBuilder().Host(HostName("b")).Term(3).Build(reason);
    const auto fourth = lease.RowObserved(older, 2, At(0)).TakeoverRow();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, fourth->BoundsKeptSince());
    const auto renewed = lease.RowWritten(*fourth, 3, At(0)).RenewalRow(true);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 4 }, renewed->BoundsKeptSince());
  }

  void HolderGetsGraceToRenewAfterStoreOutage()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row = holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    const DomainLease other =
      DomainLease(HostName("b"), "p2", kLength).RowObserved(row, 1, At(10));
    const Instant recovered = At(10'000);
    CPPUNIT_ASSERT(other.TakeoverTime() < recovered);
    CPPUNIT_ASSERT(other.StoreRegained(recovered).TakeoverTime() > recovered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainLeaseTest);

}
