#include "zones/load_changes.h"
#include "zones/peer_loads.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace {

constexpr std::size_t kMinions = 5;
constexpr std::size_t kMaxChanges = 2;
constexpr std::int64_t kMaxInFlight = 9;

const HostName kPeer("a");

/** Expected state: the counts at the sender, those it has reported, and the
 * settings revision of each side. */
struct Oracle
{
  std::vector<std::int64_t> counts = std::vector<std::int64_t>(kMinions);
  std::vector<std::int64_t> reported = std::vector<std::int64_t>(kMinions);
  std::int64_t senderRevision = 1;
  std::int64_t receiverRevision = 1;
  bool hasFullReport = false;
};

struct Receiver
{
  PeerLoads loads{ 1 };
};

using LoadCommand = rc::state::Command<Oracle, Receiver>;

/** The sender's counts change and it reports some of the changes, or all
 * counts. */
struct SendReport : public LoadCommand
{
  std::vector<std::int64_t> counts =
    *rc::gen::container<std::vector<std::int64_t>>(
      kMinions,
      rc::gen::inRange<std::int64_t>(0, kMaxInFlight));
  bool isFull = *rc::gen::arbitrary<bool>();

  MinionLoads Message(const Oracle& aOracle) const
  {
    const std::vector<std::int64_t> nothing(kMinions);
    return { aOracle.senderRevision,
             this->isFull,
             this->isFull
               ? ChangedLoads(nothing, this->counts, kMinions)
               : ChangedLoads(aOracle.reported, this->counts, kMaxChanges) };
  }

  void apply(Oracle& aOracle) const override
  {
    const MinionLoads message = this->Message(aOracle);
    aOracle.counts = this->counts;
    if (this->isFull) {
      aOracle.reported = this->counts;
    }
    for (const MinionLoad& load : message.loads) {
      aOracle.reported[static_cast<std::size_t>(load.index)] = load.inFlight;
    }
    const bool isSame = aOracle.senderRevision == aOracle.receiverRevision;
    aOracle.hasFullReport = isSame && (this->isFull || aOracle.hasFullReport);
  }

  void run(const Oracle& aOracle, Receiver& aReceiver) const override
  {
    const MinionLoads message = this->Message(aOracle);
    RC_ASSERT(this->isFull || message.loads.size() <= kMaxChanges);
    aReceiver.loads = aReceiver.loads.WithReport(kPeer, message);
    Oracle after = aOracle;
    this->apply(after);
    for (std::size_t index = 0; index < kMinions; ++index) {
      const auto inFlight = aReceiver.loads.InFlight({ kPeer }, index);
      // An unknown load must never be taken for zero.
      RC_ASSERT(inFlight.has_value() == after.hasFullReport);
      RC_ASSERT(!inFlight || *inFlight == after.reported[index]);
    }
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "SendReport full=" << this->isFull;
  }
};

struct AdoptAtReceiver : public LoadCommand
{
  void apply(Oracle& aOracle) const override
  {
    aOracle.receiverRevision += 1;
    aOracle.hasFullReport = false;
  }
  void run(const Oracle& aOracle, Receiver& aReceiver) const override
  {
    aReceiver.loads = PeerLoads(aOracle.receiverRevision + 1);
  }
};

struct AdoptAtSender : public LoadCommand
{
  void apply(Oracle& aOracle) const override
  {
    aOracle.senderRevision += 1;
    aOracle.reported.assign(kMinions, 0);
  }
  void run(const Oracle& /*aOracle*/, Receiver& /*aReceiver*/) const override {}
};

class PeerLoadsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerLoadsTest);
  CPPUNIT_TEST(UnknownLoadIsNeverTakenForZero);
  CPPUNIT_TEST(SumIsUnknownUntilEveryPeerReports);
  CPPUNIT_TEST(LargestChangesAreSentFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void UnknownLoadIsNeverTakenForZero()
  {
    CPPUNIT_ASSERT(rc::check("loads reported in any order", [] {
      Receiver receiver;
      rc::state::check(Oracle(),
                       receiver,
                       rc::state::gen::execOneOfWithArgs<SendReport,
                                                         AdoptAtReceiver,
                                                         AdoptAtSender>());
    }));
  }

  void SumIsUnknownUntilEveryPeerReports()
  {
    const HostName other("b");
    PeerLoads loads = PeerLoads(4).WithReport(kPeer, { 4, true, { { 1, 3 } } });
    CPPUNIT_ASSERT(!loads.InFlight({ kPeer, other }, 1).has_value());
    loads = loads.WithReport(other, { 4, true, { { 1, 2 } } });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 },
                         loads.InFlight({ kPeer, other }, 1).value());
    loads = loads.WithoutPeer(kPeer);
    CPPUNIT_ASSERT(!loads.InFlight({ kPeer, other }, 1).has_value());
  }

  void LargestChangesAreSentFirst()
  {
    const std::vector<MinionLoad> expected{ { 1, 9 }, { 3, 0 } };
    CPPUNIT_ASSERT(ChangedLoads({ 1, 1, 1, 5 }, { 2, 9, 1, 0 }, 2) == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadsTest);

}

}
