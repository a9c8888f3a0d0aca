#include "zones/domain_lease.h"

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

/** One turn of one host: it looks at the row, or writes it and the answer is
 * lost or not, or its process starts again. */
struct Turn
{
  int host = 0;
  int kind = 0;
  int pauseMs = 0;
  bool isLost = false;
};

void
showValue(const Turn& aTurn, std::ostream& aTo)
{
  aTo << '{' << aTurn.host << ' ' << aTurn.kind << ' ' << aTurn.pauseMs << ' '
      << aTurn.isLost << '}';
}

rc::Gen<Turn>
GenTurn()
{
  return rc::gen::build<Turn>(
    rc::gen::set(&Turn::host, rc::gen::inRange(0, kHosts)),
    rc::gen::set(&Turn::kind, rc::gen::inRange(0, 8)),
    rc::gen::set(&Turn::pauseMs, rc::gen::inRange(0, 1500)),
    rc::gen::set(&Turn::isLost, rc::gen::arbitrary<bool>()));
}

/** The row, and every host's view of it. */
class LeaseWorld
{
public:
  LeaseWorld()
  {
    for (int host = 0; host < kHosts; ++host) {
      this->Restart(host);
    }
  }

  void Play(const Turn& aTurn)
  {
    this->nowMs += aTurn.pauseMs;
    const bool isRestart = aTurn.kind == 0;
    const bool isWrite = aTurn.kind >= 4;
    if (isRestart) {
      this->Restart(aTurn.host);
    } else if (isWrite && this->holds[aTurn.host]) {
      this->Renew(aTurn.host, aTurn.isLost);
    } else if (isWrite) {
      this->TakeoverRow(aTurn.host, aTurn.isLost);
    } else {
      this->See(aTurn.host);
    }
    this->Check();
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

  void See(int aHost)
  {
    DomainLease& lease = this->leases.at(aHost);
    // A holder that learns of another one stops being the holder.
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
      lease = lease.Written(aRow, this->revision, At(this->nowMs));
    }
    return !aIsLost;
  }

  void Renew(int aHost, bool aIsLost)
  {
    const auto next = this->leases.at(aHost).RenewalRow(false);
    this->Write(aHost, *next, aIsLost);
  }

  void TakeoverRow(int aHost, bool aIsLost)
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

  /** Two processes may believe to hold the domain, but at most one of them is
   * undisputed. */
  void Check() const
  {
    int undisputed = 0;
    for (const auto& [host, lease] : this->leases) {
      undisputed +=
        this->holds.at(host) && At(this->nowMs) < lease.ExclusiveUntil() ? 1
                                                                         : 0;
    }
    RC_ASSERT(undisputed <= 1);
  }

  std::int64_t nowMs = 100'000;
  int processes = 0;
  std::optional<DomainOwner> row;
  std::int64_t revision = 0;
  std::map<int, DomainLease> leases;
  std::map<int, bool> holds;
};

}

/** No history of reads, writes and lost answers makes two holders that are both
 * undisputed, and terms only grow. */
class DomainLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainLeaseTest);
  CPPUNIT_TEST(AtMostOneProcessIsUndisputed);
  CPPUNIT_TEST(AReleasedDomainIsFreeAtOnce);
  CPPUNIT_TEST(AfterAnOutageTheHolderGetsAMomentToRenew);
  CPPUNIT_TEST_SUITE_END();

public:
  void AtMostOneProcessIsUndisputed()
  {
    for (int round = 0; round < kRounds; ++round) {
      CPPUNIT_ASSERT(rc::check("a domain's lease", [] {
        const auto turns = *rc::gen::container<std::vector<Turn>>(GenTurn());
        LeaseWorld world;
        for (const Turn& turn : turns) {
          world.Play(turn);
        }
      }));
    }
  }

  void AReleasedDomainIsFreeAtOnce()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row = holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    const auto released = holder.Written(*row, 1, At(0)).RenewalRow(true);
    const DomainLease other = DomainLease(HostName("b"), "p2", kLength)
                                .RowObserved(released, 2, At(10));
    CPPUNIT_ASSERT(other.TakeoverTime() <= At(10));
    const DomainLease early =
      DomainLease(HostName("b"), "p2", kLength).RowObserved(row, 1, At(10));
    CPPUNIT_ASSERT(early.TakeoverTime() > At(10) + kLength);
  }

  void AfterAnOutageTheHolderGetsAMomentToRenew()
  {
    const DomainLease holder(HostName("a"), "p1", kLength);
    const auto row = holder.RowObserved(std::nullopt, 0, At(0)).TakeoverRow();
    const DomainLease other =
      DomainLease(HostName("b"), "p2", kLength).RowObserved(row, 1, At(10));
    const Instant back = At(10'000);
    CPPUNIT_ASSERT(other.TakeoverTime() < back);
    CPPUNIT_ASSERT(other.StoreRegained(back).TakeoverTime() > back);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainLeaseTest);

}
