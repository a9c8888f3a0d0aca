#include "contracts/job_plan.h"

#include "contracts/job_plan_builder.h"
#include "contracts/job_step_builder.h"
#include "contracts/progress_limits.h"
#include "core/reason.h"

#include <boost/multiprecision/cpp_int.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

using boost::multiprecision::cpp_int;

constexpr std::int32_t kMost = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t kMostMs = std::numeric_limits<std::int64_t>::max();
/** Bounds of a job, written out so that a change of the product's constants
 * shows here. */
constexpr std::int64_t kMaxUnits = 20'000;
constexpr std::int64_t kMaxFailedBytes = 350'000;
constexpr std::int64_t kUnitBytes = 8;
constexpr std::int64_t kRunBytes = 5;

JobStep
StepOf(std::int32_t aCount)
{
  Reason reason;
  return JobStepBuilder().Count(aCount).Build(reason).value();
}

JobPlanBuilder
PlanOf(const std::vector<std::int32_t>& aCounts, std::int32_t aOccurrences)
{
  std::vector<JobStep> steps;
  steps.reserve(aCounts.size());
  for (const std::int32_t count : aCounts) {
    steps.push_back(StepOf(count));
  }
  return JobPlanBuilder().Steps(std::move(steps)).Occurrences(aOccurrences);
}

/** Counts that fit, those at the bounds, and those whose products overflow. */
rc::Gen<std::int32_t>
AnyCount()
{
  return rc::gen::oneOf(
    rc::gen::inRange<std::int32_t>(1, 300),
    rc::gen::inRange<std::int32_t>(1, kMost),
    rc::gen::elementOf(std::vector<std::int32_t>{
      kMost, kMost - 1, 1 << 30, 1 << 16, 20'000, 20'001 }));
}

}

/** Checks that the bounds of a job hold for every number that a caller can
 * send. */
class JobPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobPlanTest);
  CPPUNIT_TEST(PlanWhoseUnitCountOverflowsIsRefused);
  CPPUNIT_TEST(BoundsMatchWiderArithmetic);
  CPPUNIT_TEST(PlanDuePastTheClocksRangeIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Four steps of 2^31 - 1 tasks, repeated 2^31 - 1 times, counted as a
   * negative number of units. The job was accepted, and each holder that loaded
   * it exceeded its memory. */
  void PlanWhoseUnitCountOverflowsIsRefused()
  {
    Reason reason;
    CPPUNIT_ASSERT(
      !PlanOf({ kMost, kMost, kMost, kMost }, kMost).Build(reason));
    CPPUNIT_ASSERT_MESSAGE(reason.Message(),
                           reason.Message().find("20000") != std::string::npos);
  }

  void BoundsMatchWiderArithmetic()
  {
    const bool holds = rc::check("bounds of a job", [] {
      const auto counts = *rc::gen::resize(
        6,
        rc::gen::nonEmpty(
          rc::gen::container<std::vector<std::int32_t>>(AnyCount())));
      const std::int32_t occurrences = *AnyCount();
      const std::int32_t attempts = *AnyCount();
      cpp_int units = 0;
      for (const std::int32_t count : counts) {
        units += cpp_int(count) * occurrences;
      }
      Reason reason;
      const auto plan = PlanOf(counts, occurrences).Build(reason);
      RC_ASSERT(plan.has_value() == (units <= kMaxUnits));
      if (plan) {
        const cpp_int bytes =
          units * (kUnitBytes + cpp_int(attempts) * kRunBytes);
        RC_ASSERT(HasStorableProgress(*plan, attempts, reason) ==
                  (bytes <= kMaxFailedBytes));
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  /** The due time of the second occurrence overflowed to a time in the past, so
   * that it was due at once. */
  void PlanDuePastTheClocksRangeIsRefused()
  {
    const auto timed = [](std::int64_t aFirstMs,
                          std::int64_t aIntervalMs,
                          std::int32_t aOccurrences) {
      return PlanOf({ 1 }, aOccurrences)
        .IsTimed(true)
        .FirstDue(WallTime(Milliseconds(aFirstMs)))
        .Interval(Milliseconds(aIntervalMs));
    };
    Reason reason;
    CPPUNIT_ASSERT(!timed(1000, kMostMs, 2).Build(reason));
    CPPUNIT_ASSERT(!timed(kMostMs, 0, 1).Build(reason));
    CPPUNIT_ASSERT(!timed(kMostMs, kMostMs, kMaxUnits).Build(reason));
    CPPUNIT_ASSERT(!timed(0, -kMostMs, 3).Build(reason));
    CPPUNIT_ASSERT(timed(0, 60'000, kMaxUnits).Build(reason));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobPlanTest);

}
