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
/** Longer than the interval after which outcomes are written. */
constexpr Milliseconds kFinalizeTime{ 60 };

using Store = ClaimStore<FakeTable>;

/** Daemons that share a table, and the number of runs for each key. */
struct World
{
  World()
  {
    for (auto& store : this->stores) {
      store = std::make_unique<Store>(this->context, this->table);
    }
  }

  boost::asio::io_context context{ 1 };
  FakeTable table;
  std::array<std::unique_ptr<Store>, kHosts> stores;
  std::array<int, kKeys> runs{};
  int requests = 0;
};

struct Model
{};

/** What the owner of a claim does with its request. */
enum class OwnerOutcome
{
  kAnswered,
  kRanWithoutAnswer,
  kCertainlyNotSent,
  /** Its daemon exits, or is paused forever, before it sends the request. */
  kLostBeforeSend,
  /** Its daemon exits, or is paused forever, after it has sent the request. */
  kLostAfterSend
};

struct SubmitRequest : rc::state::Command<Model, World>
{
  std::size_t host = *rc::gen::inRange<std::size_t>(0, kHosts);
  std::size_t key = *rc::gen::inRange<std::size_t>(0, kKeys);
  TableFault fault =
    *rc::gen::weightedElement<TableFault>({ { 5, TableFault::kNone },
                                            { 2, TableFault::kLostApplied },
                                            { 1, TableFault::kLostUnapplied },
                                            { 1, TableFault::kNotWritten } });
  bool isDown = *rc::gen::weightedElement<bool>({ { 1, true }, { 6, false } });
  bool hasOtherContent =
    *rc::gen::weightedElement<bool>({ { 1, true }, { 6, false } });
  OwnerOutcome ownerOutcome = *rc::gen::element(OwnerOutcome::kAnswered,
                                                OwnerOutcome::kRanWithoutAnswer,
                                                OwnerOutcome::kCertainlyNotSent,
                                                OwnerOutcome::kLostBeforeSend,
                                                OwnerOutcome::kLostAfterSend);

  void run(const Model&, World& aWorld) const override
  {
    const Request request = this->MakeRequest(aWorld);
    Store& store = *aWorld.stores[this->host];
    aWorld.table.nextFault = this->fault;
    aWorld.table.isDown = this->isDown;
    ClaimAnswer answer;
    bool isDecided = false;
    boost::asio::co_spawn(aWorld.context,
                          store.Acquire(request),
                          [&](const std::exception_ptr&, ClaimAnswer aAnswer) {
                            answer = std::move(aAnswer);
                            isDecided = true;
                          });
    aWorld.context.restart();
    while (!isDecided) {
      aWorld.context.run_one();
    }
    this->ActOnAnswer(answer, request, store, aWorld);
    aWorld.table.isDown = false;
    aWorld.context.restart();
    aWorld.context.run_for(kFinalizeTime);
  }

  Request MakeRequest(World& aWorld) const
  {
    Reason reason;
    RequestBuilder builder;
    builder.Service(ServiceName("fretdesk")).Team(TeamName("blue"));
    builder.Identity("request" + std::to_string(aWorld.requests++));
    builder.Key("key" + std::to_string(this->key));
    builder.Fingerprint(this->hasOtherContent ? "other" : "same");
    builder.Deadline(Clock::now() + kDeadline);
    return builder.Build(reason).value();
  }

  void ActOnAnswer(const ClaimAnswer& aAnswer,
                   const Request& aRequest,
                   Store& aStore,
                   World& aWorld) const
  {
    int& runs = aWorld.runs[this->key];
    if (aAnswer.outcome == ClaimOutcome::kStored) {
      RC_ASSERT(runs == 1);
      RC_ASSERT(aAnswer.found.Body() == "answer");
    }
    if (aAnswer.outcome != ClaimOutcome::kOwned) {
      return;
    }
    RC_ASSERT(Clock::now() < aRequest.Deadline());
    if (this->ownerOutcome == OwnerOutcome::kCertainlyNotSent) {
      aStore.Release(aRequest);
      return;
    }
    if (this->ownerOutcome == OwnerOutcome::kLostBeforeSend) {
      return;
    }
    ++runs;
    RC_ASSERT(runs == 1);
    if (this->ownerOutcome == OwnerOutcome::kLostAfterSend) {
      return;
    }
    Reason reason;
    ClaimBuilder builder;
    builder.Owner(aRequest.Identity()).Fingerprint(aRequest.Fingerprint());
    builder.State(ClaimState::kNotKnown);
    if (this->ownerOutcome == OwnerOutcome::kAnswered) {
      builder.State(ClaimState::kDone).Answer(200, "text/plain", "answer");
    }
    aStore.Finalize(aRequest, builder.Build(reason).value());
  }

  void show(std::ostream& aTo) const override
  {
    aTo << "SubmitRequest(host " << this->host << ", key " << this->key
        << ", fault " << static_cast<int>(this->fault) << ", down "
        << this->isDown << ", outcome " << static_cast<int>(this->ownerOutcome)
        << ')';
  }
};

}

/** Table faults and daemon failures must not cause a second run of a request
 * with the same idempotency key, and a stored answer must belong to the one
 * run. */
class ClaimFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClaimFuzzTest);
  CPPUNIT_TEST(RequestsWithTheSameKeyRunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsWithTheSameKeyRunAtMostOnce()
  {
    CPPUNIT_ASSERT(rc::check("claims", [] {
      World world;
      rc::state::check(
        Model(), world, rc::state::gen::execOneOfWithArgs<SubmitRequest>());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimFuzzTest);

}
