#include "zones/holder_lease.h"

#include "contracts/ownership_builder.h"
#include "core/reason.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace {

constexpr Milliseconds kLease{ 3000 };
constexpr Milliseconds kMargin{ 600 };
constexpr Milliseconds kCommandTimeout{ 1000 };
constexpr std::size_t kHosts = 3;
/** The rarest known fault was found after 3,600 sequences. */
constexpr int kRoundsPerTest = 200;

HostName
NameOf(std::size_t aHost)
{
  return HostName("host" + std::to_string(aHost));
}

const std::vector<HostName> kAllHosts{ NameOf(0), NameOf(1), NameOf(2) };

Ownership
RowOf(std::size_t aHost, std::int64_t aTerm, std::int64_t aRenewal)
{
  Reason reason;
  return *OwnershipBuilder()
            .Host(NameOf(aHost))
            .Term(aTerm)
            .Lease(kLease)
            .Renewal(aRenewal)
            .Electorate(kAllHosts)
            .Build(reason);
}

/** A write of the row that the platform has not applied yet. */
struct PendingWrite
{
  std::size_t host = 0;
  std::int64_t checkedRevision = 0;
  Ownership row;
  Instant sent;
  /** False when the answer to the sender is lost. */
  bool isAnswered = true;
  std::int64_t incarnation = 0;
};

struct HostModel
{
  HolderLease lease{ HostName(), Instant(), kMargin };
  /** Monotonic clock of this host, which drifts by driftPercent. */
  Instant now;
  int driftPercent = 0;
  bool isRunning = true;
  std::int64_t incarnation = 0;
};

/** Simulation state: the ownership row, three hosts with drifting clocks and
 * the writes in flight. */
struct World
{
  std::array<HostModel, kHosts> hosts;
  std::optional<Ownership> row;
  std::int64_t revision = 0;
  std::vector<PendingWrite> writes;
  std::int64_t renewals = 0;
};

/** Empty, because the assertions check the World itself. */
struct Model
{};

int
CountCommanders(const World& aWorld)
{
  int count = 0;
  for (const HostModel& host : aWorld.hosts) {
    // A process that has exited sends nothing.
    if (host.isRunning && host.lease.MayCommand(host.now, Milliseconds(0))) {
      ++count;
    }
  }
  return count;
}

void
Send(World& aWorld, std::size_t aHost, bool aIsAnswered)
{
  HostModel& host = aWorld.hosts[aHost];
  const bool renews = host.lease.IsHolder();
  if (!renews && !host.lease.MayTakeOver(kAllHosts, host.now)) {
    return;
  }
  const std::int64_t term =
    host.lease.Row() ? host.lease.Row()->Term() + (renews ? 0 : 1) : 1;
  if (!renews) {
    host.lease = host.lease.TakeoverSent();
  }
  aWorld.writes.push_back({ aHost,
                            host.lease.Revision(),
                            RowOf(aHost, term, ++aWorld.renewals),
                            host.now,
                            aIsAnswered,
                            host.incarnation });
}

void
Apply(World& aWorld, std::size_t aIndex)
{
  const PendingWrite write = aWorld.writes[aIndex];
  aWorld.writes.erase(aWorld.writes.begin() +
                      static_cast<std::ptrdiff_t>(aIndex));
  HostModel& host = aWorld.hosts[write.host];
  const bool isAnswered =
    write.isAnswered && host.isRunning && host.incarnation == write.incarnation;
  if (write.checkedRevision != aWorld.revision) {
    if (isAnswered && !host.lease.IsHolder()) {
      host.lease = host.lease.TakeoverFailed();
    }
    return;
  }
  aWorld.row = write.row;
  ++aWorld.revision;
  if (isAnswered) {
    host.lease = host.lease.RowWritten(write.row, aWorld.revision, write.sent);
  }
}

void
Ask(World& aWorld, std::size_t aHolder, std::size_t aElector, int aDelivery)
{
  HostModel& holder = aWorld.hosts[aHolder];
  HostModel& elector = aWorld.hosts[aElector];
  if (!holder.lease.IsHolder() || aHolder == aElector) {
    return;
  }
  PromiseAnswer answer = PromiseAnswer::kNoAnswer;
  if (!elector.isRunning) {
    answer = PromiseAnswer::kRefusedConnection;
  } else if (aDelivery != 0) {
    const auto promised = elector.lease.Promise(
      NameOf(aHolder), holder.lease.Row()->Term(), elector.now);
    answer = promised ? PromiseAnswer::kPromised : PromiseAnswer::kDenied;
    elector.lease = promised.value_or(elector.lease);
  }
  // With aDelivery 0 the request is lost; with 1 the promise is made but its
  // answer is lost.
  if (aDelivery != 1 || !elector.isRunning) {
    holder.lease = holder.lease.Answered(NameOf(aElector), answer, holder.now);
  }
}

struct Event : rc::state::Command<Model, World>
{
  int kind = *rc::gen::weightedElement<int>(
    { { 8, 0 }, { 6, 1 }, { 5, 2 }, { 6, 3 }, { 6, 4 }, { 1, 5 }, { 1, 6 } });
  std::size_t host = *rc::gen::inRange<std::size_t>(0, kHosts);
  std::size_t other = *rc::gen::inRange<std::size_t>(0, kHosts);
  int amount = *rc::gen::inRange(0, 1500);
  int choice = *rc::gen::inRange(0, 3);

  void run(const Model&, World& aWorld) const override
  {
    HostModel& model = aWorld.hosts[this->host];
    switch (this->kind) {
      case 0:
        this->PassTime(aWorld);
        break;
      case 1:
        if (model.isRunning) {
          Send(aWorld, this->host, this->choice != 0);
        }
        break;
      case 2:
        if (!aWorld.writes.empty()) {
          Apply(aWorld, this->other % aWorld.writes.size());
        }
        break;
      case 3:
        if (model.isRunning) {
          model.lease =
            model.lease.RowRead(aWorld.row, aWorld.revision, model.now);
        }
        break;
      case 4:
        if (model.isRunning) {
          Ask(aWorld, this->host, this->other, this->choice);
        }
        break;
      case 5:
        model.isRunning = false;
        break;
      default:
        this->Restart(model);
    }
    RC_ASSERT(CountCommanders(aWorld) <= 1);
  }

  void PassTime(World& aWorld) const
  {
    for (HostModel& each : aWorld.hosts) {
      each.now += Milliseconds(this->amount * (100 + each.driftPercent) / 100);
    }
  }

  void Restart(HostModel& aModel) const
  {
    if (!aModel.isRunning) {
      aModel.isRunning = true;
      ++aModel.incarnation;
      aModel.lease = HolderLease(NameOf(this->host), aModel.now, kMargin);
    }
  }

  void show(std::ostream& aStream) const override
  {
    constexpr std::array<const char*, 7> kKinds{ "time", "send", "apply",
                                                 "read", "ask",  "exit",
                                                 "start" };
    aStream << kKinds[static_cast<std::size_t>(this->kind)]
            << " host=" << this->host << " other=" << this->other
            << " amount=" << this->amount << " choice=" << this->choice;
  }
};

World
NewWorld()
{
  World world;
  constexpr std::array<int, kHosts> kDrifts{ 0, 4, -4 };
  for (std::size_t index = 0; index < kHosts; ++index) {
    HostModel& host = world.hosts[index];
    host.now = Instant() + std::chrono::hours(index + 1);
    host.driftPercent = kDrifts[index];
    host.lease = HolderLease(NameOf(index), host.now, kMargin);
  }
  return world;
}

}

class HolderLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HolderLeaseTest);
  CPPUNIT_TEST(TwoHoldersNeverCommandAtOnce);
  CPPUNIT_TEST(HolderCommandsOnlyWithPromisesOfAllElectors);
  CPPUNIT_TEST(RestartedHostWaitsAWholeLeaseBeforeTakeover);
  CPPUNIT_TEST_SUITE_END();

public:
  void TwoHoldersNeverCommandAtOnce()
  {
    CPPUNIT_ASSERT(rc::check("at most one host commands", [] {
      for (int round = 0; round < kRoundsPerTest; ++round) {
        World world = NewWorld();
        rc::state::check(
          Model(), world, rc::state::gen::execOneOfWithArgs<Event>());
      }
    }));
  }

  void HolderCommandsOnlyWithPromisesOfAllElectors()
  {
    const Instant start = Instant() + std::chrono::hours(1);
    HolderLease lease(NameOf(0), start, kMargin);
    lease = lease.RowWritten(RowOf(0, 1, 1), 1, start);
    const Instant late = start + 2 * kLease;
    CPPUNIT_ASSERT(!lease.MayCommand(late, kCommandTimeout));
    lease = lease.Answered(NameOf(1), PromiseAnswer::kPromised, late);
    CPPUNIT_ASSERT(!lease.MayCommand(late, kCommandTimeout));
    lease = lease.Answered(NameOf(2), PromiseAnswer::kRefusedConnection, late);
    CPPUNIT_ASSERT(lease.MayCommand(late, kCommandTimeout));
    CPPUNIT_ASSERT(!lease.MayCommand(late + kLease, kCommandTimeout));
  }

  void RestartedHostWaitsAWholeLeaseBeforeTakeover()
  {
    const Instant start = Instant() + std::chrono::hours(1);
    HolderLease lease(NameOf(0), start, kMargin);
    lease = lease.RowRead(RowOf(0, 4, 1), 9, start);
    CPPUNIT_ASSERT(!lease.IsHolder());
    CPPUNIT_ASSERT(!lease.MayTakeOver(kAllHosts, start + kLease));
    const Instant later = start + kLease + 2 * kMargin;
    CPPUNIT_ASSERT(lease.MayTakeOver(kAllHosts, later));
    CPPUNIT_ASSERT(!lease.MayTakeOver({ NameOf(1) }, later));
    const auto promised = lease.Promise(NameOf(0), 4, later);
    CPPUNIT_ASSERT(promised.has_value());
    CPPUNIT_ASSERT(!promised->MayTakeOver(kAllHosts, later + kLease));
    CPPUNIT_ASSERT(!lease.TakeoverSent().Promise(NameOf(0), 4, later));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderLeaseTest);

}
