#include "daemon/claim_store.h"

#include "contracts/request_builder.h"
#include "tests/daemon/fake_table.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::size_t kKeys = 2;
constexpr Milliseconds kDeadline{ 100 };
/** Longer than the pause before results are stored. */
constexpr Milliseconds kSettleTime{ 60 };

using Keeper = ClaimStore<FakeTable>;

/** Daemons that share a table, and how often each key's request ran. */
struct World
{
  World()
  {
    for (auto& keeper : this->keepers) {
      keeper = std::make_unique<Keeper>(this->context, this->table);
    }
  }

  boost::asio::io_context context{ 1 };
  FakeTable table;
  std::array<std::unique_ptr<Keeper>, kHosts> keepers;
  std::array<int, kKeys> runs{};
  int requests = 0;
};

struct Model
{};

/** What the owner of a claim does. */
enum class Fate
{
  kAnswered,
  kRanWithoutAnswer,
  kCertainlyNotSent,
  /** Its daemon dies, or is paused for good, before or after it sent. */
  kNeverHeardOfUnsent,
  kNeverHeardOfSent
};

struct Use : rc::state::Command<Model, World>
{
  std::size_t host = *rc::gen::inRange<std::size_t>(0, kHosts);
  std::size_t key = *rc::gen::inRange<std::size_t>(0, kKeys);
  TableFault fault =
    *rc::gen::weightedElement<TableFault>({ { 5, TableFault::kNone },
                                            { 2, TableFault::kLostApplied },
                                            { 1, TableFault::kLostUnapplied },
                                            { 1, TableFault::kNotWritten } });
  bool down = *rc::gen::weightedElement<bool>({ { 1, true }, { 6, false } });
  bool other = *rc::gen::weightedElement<bool>({ { 1, true }, { 6, false } });
  Fate fate = *rc::gen::element(Fate::kAnswered,
                                Fate::kRanWithoutAnswer,
                                Fate::kCertainlyNotSent,
                                Fate::kNeverHeardOfUnsent,
                                Fate::kNeverHeardOfSent);

  void run(const Model&, World& aWorld) const override
  {
    const Request request = this->MakeRequest(aWorld);
    Keeper& keeper = *aWorld.keepers[this->host];
    aWorld.table.nextFault = this->fault;
    aWorld.table.isDown = this->down;
    ClaimAnswer answer;
    bool isDecided = false;
    boost::asio::co_spawn(aWorld.context,
                          keeper.Take(request),
                          [&](const std::exception_ptr&, ClaimAnswer aAnswer) {
                            answer = std::move(aAnswer);
                            isDecided = true;
                          });
    aWorld.context.restart();
    while (!isDecided) {
      aWorld.context.run_one();
    }
    this->Heed(answer, request, keeper, aWorld);
    aWorld.table.isDown = false;
    aWorld.context.restart();
    aWorld.context.run_for(kSettleTime);
  }

  Request MakeRequest(World& aWorld) const
  {
    Reason reason;
    RequestBuilder builder;
    builder.Service(ServiceName("fretdesk")).Team(TeamName("blue"));
    builder.Identity("request" + std::to_string(aWorld.requests++));
    builder.Key("key" + std::to_string(this->key));
    builder.Fingerprint(this->other ? "other" : "same");
    builder.Deadline(Clock::now() + kDeadline);
    return builder.Build(reason).value();
  }

  void Heed(const ClaimAnswer& aAnswer,
            const Request& aRequest,
            Keeper& aKeeper,
            World& aWorld) const
  {
    int& runs = aWorld.runs[this->key];
    if (aAnswer.outcome == ClaimOutcome::kStored) {
      RC_ASSERT(runs == 1);
      RC_ASSERT(aAnswer.found.Body() == "answer");
    }
    if (aAnswer.outcome != ClaimOutcome::kMine) {
      return;
    }
    RC_ASSERT(Clock::now() < aRequest.Deadline());
    if (this->fate == Fate::kCertainlyNotSent) {
      aKeeper.Release(aRequest);
      return;
    }
    if (this->fate == Fate::kNeverHeardOfUnsent) {
      return;
    }
    ++runs;
    RC_ASSERT(runs == 1);
    if (this->fate == Fate::kNeverHeardOfSent) {
      return;
    }
    Reason reason;
    ClaimBuilder builder;
    builder.Owner(aRequest.Identity()).Fingerprint(aRequest.Fingerprint());
    builder.State(ClaimState::kNotKnown);
    if (this->fate == Fate::kAnswered) {
      builder.State(ClaimState::kDone).Answer(200, "text/plain", "answer");
    }
    aKeeper.Settle(aRequest, builder.Build(reason).value());
  }

  void show(std::ostream& aTo) const override
  {
    aTo << "Use(host " << this->host << ", key " << this->key << ", fault "
        << static_cast<int>(this->fault) << ", down " << this->down << ", fate "
        << static_cast<int>(this->fate) << ')';
  }
};

}

/** Whatever the table does and whoever dies, a key's request runs at most once,
 * and a stored answer is that run's. */
class ClaimFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClaimFuzzTest);
  CPPUNIT_TEST(AKeyRunsAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void AKeyRunsAtMostOnce()
  {
    CPPUNIT_ASSERT(rc::check("claims", [] {
      World world;
      rc::state::check(
        Model(), world, rc::state::gen::execOneOfWithArgs<Use>());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimFuzzTest);

}
