#include "zones/lease_bound_record.h"

#include "contracts/store_clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

const WorkerName kWorker("w0");
constexpr std::int64_t kTerm = 4;

Instant
At(std::int64_t aMs)
{
  return Instant(Milliseconds(aMs));
}

StoreClock
ClockAt(std::int64_t aMs)
{
  return StoreClock(50'000 + aMs, At(aMs), At(aMs));
}

}

/** When a worker may be granted a lease although a bound of its leases was
 * written, and which bounds are relied on. */
class LeaseBoundRecordTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseBoundRecordTest);
  CPPUNIT_TEST(BoundIsInForceFromBeforeItIsWritten);
  CPPUNIT_TEST(LostAnswerIsSettledByTheNextWrite);
  CPPUNIT_TEST(StoredBoundDoesNotMove);
  CPPUNIT_TEST(FastOrSlowStoreClockShortensNoBound);
  CPPUNIT_TEST_SUITE_END();

public:
  void BoundIsInForceFromBeforeItIsWritten()
  {
    LeaseBoundRecord record;
    record.Plan({ { kWorker, At(9000) } }, kTerm, ClockAt(1000));
    CPPUNIT_ASSERT(record.MayBeStored(kWorker));
    record.Answered(WriteOutcome::kNotWritten);
    CPPUNIT_ASSERT(!record.MayBeStored(kWorker));
  }

  // Failure: the write whose answer was lost takes effect after the worker was
  // granted a lease.
  void LostAnswerIsSettledByTheNextWrite()
  {
    LeaseBoundRecord record;
    record.Plan({ { kWorker, At(9000) } }, kTerm, ClockAt(1000));
    record.Answered(WriteOutcome::kNotKnown);
    CPPUNIT_ASSERT(record.IsDue({}));
    record.Plan({}, kTerm, ClockAt(2000));
    record.Answered(WriteOutcome::kConflict);
    CPPUNIT_ASSERT(record.MayBeStored(kWorker));
    record.Plan({}, kTerm, ClockAt(3000));
    record.Answered(WriteOutcome::kCommitted);
    CPPUNIT_ASSERT(!record.MayBeStored(kWorker));
    CPPUNIT_ASSERT(!record.IsDue({}));
  }

  void StoredBoundDoesNotMove()
  {
    LeaseBounds row;
    for (std::int64_t nowMs = 1000; nowMs < 6000; nowMs += 1000) {
      LeaseBoundRecord record;
      record.Adopt(row, 1, ClockAt(nowMs));
      const Instant until = record.StoredFor(kWorker).value_or(At(9000));
      const LeaseBounds next =
        record.Plan({ { kWorker, until } }, kTerm, ClockAt(nowMs));
      CPPUNIT_ASSERT(row.empty() || row == next);
      row = next;
    }
  }

  void FastOrSlowStoreClockShortensNoBound()
  {
    constexpr std::int64_t kUntilMs = 11'000;
    for (const double rate : { 0.98, 1.0, 1.02 }) {
      const auto storeMs = [rate](std::int64_t aMs) {
        return static_cast<std::int64_t>(rate * static_cast<double>(aMs));
      };
      // The time is read somewhere between the request and its answer.
      const StoreClock first(storeMs(1100), At(1000), At(1200));
      const StoreClock second(storeMs(4100), At(4000), At(4200));
      CPPUNIT_ASSERT(second.ReachedBy(first.LatestAt(At(kUntilMs))) >=
                     At(kUntilMs));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundRecordTest);

}
