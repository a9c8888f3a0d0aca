#include "zones/stored_checkpoints.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

UnitPlacement
MakePlacement(std::int32_t aUnit, bool aIsRunning, std::size_t aSavedBytes)
{
  UnitPlacement placement;
  placement.unit = aUnit;
  placement.run = 1;
  placement.saved = std::string(aSavedBytes, 'c');
  if (aIsRunning) {
    placement.workers.emplace_back("w0");
  }
  return placement;
}

}

/** Which checkpoints of a job are stored when all take too much. */
class StoredCheckpointsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoredCheckpointsTest);
  CPPUNIT_TEST(CheckpointsWithinTheLimitAreKept);
  CPPUNIT_TEST(CheckpointsThatNoWorkerReportsAreKeptFirst);
  CPPUNIT_TEST(LongCheckpointDoesNotKeepShorterOnesOut);
  CPPUNIT_TEST_SUITE_END();

public:
  void CheckpointsWithinTheLimitAreKept()
  {
    const std::vector<UnitPlacement> all{ MakePlacement(0, true, 50),
                                          MakePlacement(1, false, 50) };
    std::vector<UnitPlacement> kept = all;
    KeepCheckpointsWithin(kept, 100);
    CPPUNIT_ASSERT(all == kept);
  }

  void CheckpointsThatNoWorkerReportsAreKeptFirst()
  {
    std::vector<UnitPlacement> placements{ MakePlacement(0, true, 50),
                                           MakePlacement(1, true, 50),
                                           MakePlacement(2, false, 50) };
    KeepCheckpointsWithin(placements, 100);
    CPPUNIT_ASSERT(!placements[0].saved.empty());
    CPPUNIT_ASSERT(placements[1].saved.empty());
    CPPUNIT_ASSERT(!placements[2].saved.empty());
  }

  void LongCheckpointDoesNotKeepShorterOnesOut()
  {
    std::vector<UnitPlacement> placements{ MakePlacement(0, true, 500),
                                           MakePlacement(1, true, 50) };
    KeepCheckpointsWithin(placements, 100);
    CPPUNIT_ASSERT(placements[0].saved.empty());
    CPPUNIT_ASSERT(!placements[1].saved.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoredCheckpointsTest);

}
