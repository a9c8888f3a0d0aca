#include "contracts/request_builder.h"
#include "core/reason.h"
#include "zones/request_progress.h"
#include "zones/retry_decision.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace {

constexpr Milliseconds kDeadline{ 1000 };
constexpr int kMaxRetriesAllowed = 2;

/** One request and the number of its runs, which a link failure may hide. */
struct World
{
  Request request;
  RequestProgress progress;
  Instant now;
  int runs = 0;
  int attempts = 0;
};

struct Model
{};

Request
MakeRequest(bool aIsIdempotent)
{
  Reason reason;
  RequestBuilder builder;
  builder.Service(ServiceName("fretdesk")).Idempotent(aIsIdempotent);
  builder.Deadline(Instant() + kDeadline);
  return builder.Build(reason).value();
}

/** One attempt after a pause; a link failure may hide whether it ran. */
struct Attempt : rc::state::Command<Model, World>
{
  int pause = *rc::gen::inRange(0, 400);
  bool budget = *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
  AttemptEnd end = *rc::gen::element(AttemptEnd::kNotSent,
                                     AttemptEnd::kRefused,
                                     AttemptEnd::kMaybeSent,
                                     AttemptEnd::kAnswered);
  bool ran = *rc::gen::arbitrary<bool>();

  void run(const Model&, World& aWorld) const override
  {
    aWorld.now += Milliseconds(this->pause);
    const bool mayAttempt =
      MayAttempt(aWorld.request, aWorld.progress, this->budget, aWorld.now);
    if (mayAttempt) {
      RC_ASSERT(aWorld.now < aWorld.request.Deadline());
      RC_ASSERT(this->budget || aWorld.attempts == 0);
      const Instant until = AttemptDeadline(aWorld.request,
                                            aWorld.progress,
                                            std::chrono::microseconds(1000),
                                            aWorld.now);
      RC_ASSERT(until > aWorld.now);
      RC_ASSERT(until <= aWorld.request.Deadline());
      const bool isMaybe = this->end == AttemptEnd::kMaybeSent && this->ran;
      aWorld.runs += isMaybe || this->end == AttemptEnd::kAnswered ? 1 : 0;
      aWorld.progress = aWorld.progress.After(this->end);
      ++aWorld.attempts;
    }
    Check(aWorld);
  }

  /** The outcome that the caller would get now must agree with the runs. */
  static void Check(const World& aWorld)
  {
    const RequestOutcome outcome = OutcomeOf(aWorld.progress);
    RC_ASSERT(outcome != RequestOutcome::kNotRun || aWorld.runs == 0);
    RC_ASSERT(outcome != RequestOutcome::kDone || aWorld.runs > 0);
    RC_ASSERT(aWorld.request.Idempotent() || aWorld.runs <= 1);
    RC_ASSERT(aWorld.attempts <= 1 + kMaxRetriesAllowed);
  }

  void show(std::ostream& aTo) const override
  {
    aTo << "Attempt(" << this->pause << " ms, budget " << this->budget
        << ", end " << static_cast<int>(this->end) << ", ran " << this->ran
        << ')';
  }
};

}

/** Guards against retries that run a non-idempotent request twice, and against
 * outcomes that disagree with what ran. */
class RetryFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetryFuzzTest);
  CPPUNIT_TEST(OutcomeAgreesWithRunsAfterAnyLinkFailure);
  CPPUNIT_TEST_SUITE_END();

public:
  void OutcomeAgreesWithRunsAfterAnyLinkFailure()
  {
    CPPUNIT_ASSERT(rc::check("retries", [](bool aIsIdempotent) {
      World world;
      world.request = MakeRequest(aIsIdempotent);
      rc::state::check(
        Model(), world, rc::state::gen::execOneOfWithArgs<Attempt>());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryFuzzTest);

}
