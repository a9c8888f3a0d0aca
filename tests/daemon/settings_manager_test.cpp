#include "daemon/settings_manager.h"

#include "daemon/fleet_adopter.h"
#include "tests/daemon/fake_table.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr int kHosts = 3;

template<typename Value>
asio::awaitable<void>
StoreResult(asio::awaitable<Value> aCall, std::optional<Value>& aResult)
{
  Value value = co_await std::move(aCall);
  aResult = std::move(value);
}

/** Runs a call to its end; it must not wait for other threads or timers. */
template<typename Value>
Value
Run(asio::awaitable<Value> aCall)
{
  asio::io_context context;
  std::optional<Value> result;
  asio::co_spawn(
    context, StoreResult(std::move(aCall), result), asio::detached);
  context.run();
  return *result;
}

void
Run(asio::awaitable<void> aCall)
{
  asio::io_context context;
  asio::co_spawn(context, std::move(aCall), asio::detached);
  context.run();
}

/** Peers that have one revision in force, possibly an old one. */
class FakePeers
{
public:
  std::optional<SettingsText> inForceAtPeers;

  void Announce(std::int64_t) {}
  asio::awaitable<std::optional<SettingsText>> Ask(Reason& aReason)
  {
    aReason = Reason(Step::kPeerLink, "fake", "no peer answers");
    co_return this->inForceAtPeers;
  }
};

using Manager = SettingsManager<FakeTable, FakePeers, FleetAdopter>;

/** One entry host that reads its settings from the table. */
struct Host
{
  explicit Host(FakeTable& aTable)
    : adopter([this](const Fleet& aFleet) {
      this->adopted.push_back(aFleet.Revision());
    })
    , manager(this->context,
              DataCentreName("east"),
              aTable,
              this->peers,
              this->adopter,
              Milliseconds(0))
  {
  }

  asio::io_context context;
  std::vector<std::int64_t> adopted;
  FakePeers peers;
  FleetAdopter adopter;
  Manager manager;
};

std::string
Yaml(int aNumber)
{
  return "name: fleet" + std::to_string(aNumber) + "\n";
}

SettingsProposal
Propose(const std::string& aYaml, std::int64_t aExpected)
{
  return { aExpected, "operator", "note", "fleet.yaml", aYaml };
}

/** The expected state is read from the chain of texts in the table, so the
 * model has no state. */
struct Model
{};

struct System
{
  System()
  {
    for (int count = 0; count < kHosts; ++count) {
      this->hosts.push_back(std::make_unique<Host>(this->table));
    }
  }
  FakeTable table;
  std::vector<std::unique_ptr<Host>> hosts;
};

using Command = rc::state::Command<Model, System>;

/** The expected state: all accepted texts, read directly from the table. */
std::vector<std::string>
Chain(const System& aSystem)
{
  std::vector<std::string> texts;
  while (true) {
    const auto revision = static_cast<std::int64_t>(texts.size()) + 1;
    const TableRow row = aSystem.table.Row(SettingsTextKey(revision));
    if (row.Revision() == 0) {
      return texts;
    }
    texts.push_back(row.Value());
  }
}

/** Invariants after every command: accepted texts never change, and the
 * revisions that a host adopts only increase. */
void
CheckAlways(const std::vector<std::string>& aBefore, const System& aSystem)
{
  const std::vector<std::string> chain = Chain(aSystem);
  RC_ASSERT(chain.size() >= aBefore.size());
  RC_ASSERT(std::equal(aBefore.begin(), aBefore.end(), chain.begin()));
  for (const auto& host : aSystem.hosts) {
    RC_ASSERT(std::is_sorted(
      host->adopted.begin(), host->adopted.end(), std::less_equal<>()));
    const SettingsText& inForce = host->manager.InForce();
    const auto index = static_cast<std::size_t>(inForce.revision);
    RC_ASSERT(index <= chain.size());
    if (index > 0) {
      RC_ASSERT(chain[index - 1] == inForce.yaml);
    }
  }
}

/** An operator proposes a change, optionally with a concurrent change on
 * another host or a table fault. */
struct ProposeCommand : Command
{
  int host = *rc::gen::inRange(0, kHosts);
  bool hasConcurrentChange =
    *rc::gen::weightedElement<bool>({ { 2, false }, { 1, true } });
  std::int64_t behind =
    *rc::gen::weightedElement<std::int64_t>({ { 5, 0 }, { 1, 1 }, { 1, -1 } });
  TableFault fault = *rc::gen::element(TableFault::kNone,
                                       TableFault::kLostApplied,
                                       TableFault::kLostUnapplied,
                                       TableFault::kNotWritten);
  std::string yaml = Yaml(*rc::gen::arbitrary<int>());

  void apply(Model&) const override {}

  void run(const Model&, System& aSystem) const override
  {
    const std::vector<std::string> before = Chain(aSystem);
    const auto newest = static_cast<std::int64_t>(before.size());
    const std::int64_t expected = newest - this->behind;
    if (this->hasConcurrentChange) {
      aSystem.table.beforeCommit = [this, &aSystem, expected] {
        Host& rival = *aSystem.hosts[(this->host + 1) % kHosts];
        Run(rival.manager.Accept(Propose(this->yaml + "# rival\n", expected)));
      };
    }
    aSystem.table.nextFault =
      this->hasConcurrentChange ? TableFault::kNone : this->fault;
    Manager& manager = aSystem.hosts[this->host]->manager;
    const SettingsAnswer answer =
      Run(manager.Accept(Propose(this->yaml, expected)));
    aSystem.table.beforeCommit = nullptr;
    aSystem.table.nextFault = TableFault::kNone;
    this->CheckAnswer(answer, before, Chain(aSystem));
    CheckAlways(before, aSystem);
  }

  /** At most one change was accepted, and the answer matches it. */
  void CheckAnswer(const SettingsAnswer& aAnswer,
                   const std::vector<std::string>& aBefore,
                   const std::vector<std::string>& aAfter) const
  {
    RC_ASSERT(aAfter.size() <= aBefore.size() + 1);
    const bool isMine =
      aAfter.size() > aBefore.size() && aAfter.back() == this->yaml;
    switch (aAnswer.outcome) {
      case AcceptOutcome::kAccepted:
        RC_ASSERT(isMine);
        RC_ASSERT(this->behind == 0);
        break;
      case AcceptOutcome::kUnchanged:
        RC_ASSERT(!aBefore.empty());
        RC_ASSERT(aBefore.back() == this->yaml);
        break;
      case AcceptOutcome::kConflict:
        RC_ASSERT(!isMine);
        RC_ASSERT(aAnswer.record.has_value() || aAfter.empty());
        break;
      case AcceptOutcome::kUnreachable:
      case AcceptOutcome::kInvalid:
        RC_ASSERT(!isMine);
        break;
      case AcceptOutcome::kNotKnown:
        RC_ASSERT(this->fault == TableFault::kLostUnapplied);
        break;
    }
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "propose on host " << this->host << " rival "
            << this->hasConcurrentChange << " behind " << this->behind
            << " fault " << static_cast<int>(this->fault);
  }
};

struct PollCommand : Command
{
  int host = *rc::gen::inRange(0, kHosts);
  bool isDown = *rc::gen::arbitrary<bool>();
  /** How many revisions the peers are behind the newest. */
  std::int64_t peersBehind = *rc::gen::inRange<std::int64_t>(0, 4);

  void apply(Model&) const override {}

  void run(const Model&, System& aSystem) const override
  {
    const std::vector<std::string> chain = Chain(aSystem);
    const auto newest = static_cast<std::int64_t>(chain.size());
    const std::int64_t inForceAtPeers = newest - this->peersBehind;
    Host& host = *aSystem.hosts[this->host];
    if (inForceAtPeers > 0) {
      const auto index = static_cast<std::size_t>(inForceAtPeers - 1);
      host.peers.inForceAtPeers = SettingsText{ inForceAtPeers, chain[index] };
      host.manager.OnPeerRevision(newest);
    }
    aSystem.table.isDown = this->isDown;
    const std::int64_t before = host.manager.InForce().revision;
    Run(host.manager.Poll());
    aSystem.table.isDown = false;
    const std::int64_t expected =
      this->isDown ? std::max(before, inForceAtPeers) : newest;
    RC_ASSERT(host.manager.InForce().revision == expected);
    CheckAlways(chain, aSystem);
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "poll host " << this->host << " down " << this->isDown
            << " peers behind " << this->peersBehind;
  }
};

struct RestartCommand : Command
{
  int host = *rc::gen::inRange(0, kHosts);

  void apply(Model&) const override {}
  void run(const Model&, System& aSystem) const override
  {
    aSystem.hosts[this->host] = std::make_unique<Host>(aSystem.table);
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "restart host " << this->host;
  }
};

}

/** Concurrent proposals, table faults, restarts and lagging peers must never
 * replace an accepted revision or move a host back to an older one. */
class SettingsManagerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsManagerTest);
  CPPUNIT_TEST(ConcurrentProposalsHaveOneWinnerAndNeverRevertARevision);
  CPPUNIT_TEST(ConflictingProposalIsRefusedWithTheAcceptedChange);
  CPPUNIT_TEST(OldFileWithoutExpectedRevisionIsRefused);
  CPPUNIT_TEST(GuaranteeLargerThanAnyWorkerIsRefused);
  CPPUNIT_TEST(TextsBeyondTheRetentionAreDeleted);
  CPPUNIT_TEST_SUITE_END();

public:
  void ConcurrentProposalsHaveOneWinnerAndNeverRevertARevision()
  {
    const bool holds = rc::check("settings only go forward", [] {
      System system;
      rc::state::check(Model(),
                       system,
                       rc::state::gen::execOneOfWithArgs<ProposeCommand,
                                                         PollCommand,
                                                         RestartCommand>());
    });
    CPPUNIT_ASSERT(holds);
  }

  void ConflictingProposalIsRefusedWithTheAcceptedChange()
  {
    System system;
    Manager& manager = system.hosts[0]->manager;
    SettingsProposal first = Propose(Yaml(1), 0);
    first.who = "ada";
    first.note = "more luthiers";
    CPPUNIT_ASSERT(Run(manager.Accept(first)).outcome ==
                   AcceptOutcome::kAccepted);
    const SettingsAnswer answer =
      Run(system.hosts[1]->manager.Accept(Propose(Yaml(2), 0)));
    CPPUNIT_ASSERT(answer.outcome == AcceptOutcome::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("ada"), answer.record->Who());
    CPPUNIT_ASSERT(answer.reason.Text().find("revision 1 by ada at") !=
                   std::string::npos);
    CPPUNIT_ASSERT(answer.reason.Text().find("(more luthiers)") !=
                   std::string::npos);
  }

  void OldFileWithoutExpectedRevisionIsRefused()
  {
    System system;
    Manager& manager = system.hosts[0]->manager;
    for (int number = 1; number <= 2; ++number) {
      Run(manager.Accept(Propose(Yaml(number), number - 1)));
    }
    SettingsProposal old = Propose(Yaml(1), 0);
    old.expectedRevision.reset();
    CPPUNIT_ASSERT(Run(manager.Accept(old)).outcome ==
                   AcceptOutcome::kConflict);
    old.expectedRevision = 2;
    CPPUNIT_ASSERT(Run(manager.Accept(old)).outcome ==
                   AcceptOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, manager.InForce().revision);
  }

  void GuaranteeLargerThanAnyWorkerIsRefused()
  {
    System system;
    const std::string yaml =
      "name: f\ndata_centres:\n  east:\n    racks:\n      r1:\n"
      "        workers:\n          w1: {address: 127.0.0.1:3, accelerators: 4, "
      "cores: 1, memory_mb: 1}\n    teams:\n      luthiers:\n"
      "        quota: 8\n        guarantees:\n"
      "          - {members: 1, accelerators_per_member: 8}\n";
    const SettingsAnswer answer =
      Run(system.hosts[0]->manager.Accept(Propose(yaml, 0)));
    CPPUNIT_ASSERT(answer.outcome == AcceptOutcome::kInvalid);
    CPPUNIT_ASSERT_MESSAGE(answer.reason.Message(),
                           answer.reason.Message().find("luthiers") !=
                             std::string::npos);
  }

  void TextsBeyondTheRetentionAreDeleted()
  {
    System system;
    Manager& manager = system.hosts[0]->manager;
    for (int number = 1; number <= kKeptTexts + 1; ++number) {
      Run(manager.Accept(Propose(Yaml(number), number - 1)));
    }
    CPPUNIT_ASSERT(system.table.Row(SettingsTextKey(1)).Revision() == 0);
    CPPUNIT_ASSERT(system.table.Row(SettingsTextKey(2)).Revision() != 0);
    Reason reason;
    const auto history = Run(manager.History(kKeptTexts + 1, reason));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kKeptTexts + 1 }, history->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsManagerTest);

}
