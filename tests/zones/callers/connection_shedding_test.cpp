#include "zones/callers/connection_shedding.h"

#include "machines/caller_limits.h"
#include "zones/callers/caller_admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

using Phase = HeldConnection::Phase;

constexpr std::int64_t kKilobyte = 1024;
const Instant kNow = Instant() + std::chrono::hours(1);

HeldConnection
Connection(Phase aPhase,
           std::int64_t aBytes,
           Milliseconds aAge,
           bool aIsServed = false)
{
  HeldConnection connection;
  connection.phase = aPhase;
  connection.bytes = aBytes;
  connection.since = kNow - aAge;
  connection.isServed = aIsServed;
  return connection;
}

std::size_t
ChosenForMemory(const std::vector<HeldConnection>& aConnections)
{
  return ChooseToFreeMemory(aConnections, kNow).value_or(aConnections.size());
}

std::size_t
ChosenForConnection(const std::vector<HeldConnection>& aConnections)
{
  return ChooseToFreeConnection(aConnections, kNow)
    .value_or(aConnections.size());
}

}

/** Crowds of callers that hold connections and memory. */
class ConnectionSheddingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConnectionSheddingTest);
  CPPUNIT_TEST(LargestIncompleteRequestIsClosedFirst);
  CPPUNIT_TEST(SlowHalfRequestsAreClosedBeforeOneThatArrivesAtOnce);
  CPPUNIT_TEST(UnreadAnswerIsClosedBeforeSmallHalfRequest);
  CPPUNIT_TEST(HandledRequestsAreNeverClosed);
  CPPUNIT_TEST(NeverServedConnectionsAreClosedBeforeServedOnes);
  CPPUNIT_TEST(StalledReadersAreClosedForNewConnections);
  CPPUNIT_TEST(LargeRequestsLeaveRoomForSmallOnes);
  CPPUNIT_TEST(CrowdOfOneAddressLeavesTheOthersTheirShare);
  CPPUNIT_TEST_SUITE_END();

public:
  void LargestIncompleteRequestIsClosedFirst()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      ChosenForMemory(
        { Connection(Phase::kReceiving, 4 * kKilobyte, Milliseconds(50)),
          Connection(Phase::kReceiving, 900 * kKilobyte, Milliseconds(50)),
          Connection(Phase::kIdle, 8 * kKilobyte, Milliseconds(60'000)) }));
  }

  /** A crowd whose requests are each smaller than an ordinary job, and never
   * complete. */
  void SlowHalfRequestsAreClosedBeforeOneThatArrivesAtOnce()
  {
    std::vector<HeldConnection> connections(
      500, Connection(Phase::kReceiving, 9 * kKilobyte, Milliseconds(4000)));
    connections.front() =
      Connection(Phase::kReceiving, 64 * kKilobyte, Milliseconds(20));
    CPPUNIT_ASSERT(ChosenForMemory(connections) > 0);
  }

  void UnreadAnswerIsClosedBeforeSmallHalfRequest()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 0 },
      ChosenForMemory(
        { Connection(Phase::kAnswering, 4000 * kKilobyte, Milliseconds(900)),
          Connection(Phase::kReceiving, 9 * kKilobyte, Milliseconds(900)) }));
  }

  void HandledRequestsAreNeverClosed()
  {
    const std::vector<HeldConnection> connections(
      3, Connection(Phase::kHandling, 900 * kKilobyte, Milliseconds(30'000)));
    CPPUNIT_ASSERT(!ChooseToFreeMemory(connections, kNow));
    CPPUNIT_ASSERT(!ChooseToFreeConnection(connections, kNow));
    CPPUNIT_ASSERT(!ChooseToFreeMemory({}, kNow));
  }

  void NeverServedConnectionsAreClosedBeforeServedOnes()
  {
    std::vector<HeldConnection> connections{
      Connection(Phase::kIdle, 8 * kKilobyte, Milliseconds(70'000), true),
      Connection(Phase::kIdle, 8 * kKilobyte, Milliseconds(10)),
      Connection(Phase::kReceiving, 8 * kKilobyte, Milliseconds(900)),
      Connection(Phase::kHandling, 8 * kKilobyte, Milliseconds(9000))
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, ChosenForConnection(connections));
    connections.erase(connections.begin() + 1, connections.begin() + 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, ChosenForConnection(connections));
  }

  /** Callers that have every connection open and read no answer. */
  void StalledReadersAreClosedForNewConnections()
  {
    const std::vector<HeldConnection> connections{
      Connection(Phase::kAnswering, 9 * kKilobyte, Milliseconds(30'000)),
      Connection(Phase::kAnswering, 9 * kKilobyte, Milliseconds(40'000)),
      Connection(Phase::kAnswering, 9 * kKilobyte, Milliseconds(1000))
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ChosenForConnection(connections));
    CPPUNIT_ASSERT(!ChooseToFreeConnection({ connections.back() }, kNow));
  }

  void LargeRequestsLeaveRoomForSmallOnes()
  {
    const CallerLimits limits;
    const std::int64_t large = limits.MemoryBytes() / 10;
    std::int64_t held = 0;
    while (AdmitsRequest(large, limits, held, limits, held)) {
      held += large;
    }
    CPPUNIT_ASSERT(held >= limits.MemoryBytes() / 2);
    const std::int64_t small = HandledRequestBytes(4 * kKilobyte);
    for (int count = 0; count < 100; ++count) {
      CPPUNIT_ASSERT(AdmitsRequest(small, limits, held, limits, held));
      held += small;
    }
    // The largest one that is allowed is admitted while little is held.
    CPPUNIT_ASSERT(AdmitsRequest(
      HandledRequestBytes(limits.BodyBytes()), limits, large, limits, large));
  }

  void CrowdOfOneAddressLeavesTheOthersTheirShare()
  {
    const CallerLimits limits;
    const CallerLimits share = limits.ShareOf(16);
    const std::int64_t held = limits.MemoryBytes();
    CPPUNIT_ASSERT(!HasRoomFor(kKilobyte, limits, held, limits, held));
    CPPUNIT_ASSERT(HasRoomFor(kKilobyte, limits, held, share, 0));
    CPPUNIT_ASSERT(
      !HasRoomFor(kKilobyte, limits, held, share, share.MemoryBytes()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSheddingTest);

}
