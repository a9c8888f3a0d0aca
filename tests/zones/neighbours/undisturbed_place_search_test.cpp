#include "machines/resources_builder.h"
#include "tests/zones/sample_values.h"
#include "zones/candidate_worker_builder.h"
#include "zones/place_search.h"
#include "zones/placement_request_builder.h"
#include "zones/worker_outlook_builder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr double kDisturbed = 0.3;

Resources
Accelerators(std::int64_t aCount)
{
  return BuildValid(ResourcesBuilder().Accelerators(aCount));
}

CandidateWorker
MakeCandidate(const std::string& aName,
              const std::string& aRack,
              std::int64_t aFree,
              double aDisturbance,
              double aPace = 1.0)
{
  return BuildValid(
    CandidateWorkerBuilder()
      .Name(WorkerName(aName))
      .Rack(RackName(aRack))
      .Free(Accelerators(aFree))
      .Total(Accelerators(8))
      .MaxTasks(100)
      .Outlook(BuildValid(
        WorkerOutlookBuilder().Pace(aPace).Disturbance(aDisturbance))));
}

PlacementRequestBuilder
Request(std::int32_t aCount)
{
  return PlacementRequestBuilder().Need(Accelerators(2)).Count(aCount);
}

std::string
OnlyPlace(const std::vector<CandidateWorker>& aWorkers,
          const PlacementRequestBuilder& aRequest)
{
  return FindSomePlaces(aWorkers, BuildValid(aRequest)).at(0).Text();
}

}

/** Where tasks go that would disturb what runs on some of the workers. */
class UndisturbedPlaceSearchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UndisturbedPlaceSearchTest);
  CPPUNIT_TEST(TaskAvoidsFullerWorkerThatItDisturbs);
  CPPUNIT_TEST(TaskStartsBesideDisturbingOnesWhenThereIsNoOtherRoom);
  CPPUNIT_TEST(GangTakesRackInWhichItDisturbsFewest);
  CPPUNIT_TEST(DisturbanceGivesWayToTheRackOfTheData);
  CPPUNIT_TEST(DisturbanceGivesWayToPace);
  CPPUNIT_TEST_SUITE_END();

public:
  void TaskAvoidsFullerWorkerThatItDisturbs()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         OnlyPlace({ MakeCandidate("a", "r", 2, kDisturbed),
                                     MakeCandidate("b", "r", 8, 0.0) },
                                   Request(1)));
  }

  void TaskStartsBesideDisturbingOnesWhenThereIsNoOtherRoom()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         OnlyPlace({ MakeCandidate("a", "r", 2, kDisturbed),
                                     MakeCandidate("b", "r", 1, 0.0) },
                                   Request(1)));
  }

  void GangTakesRackInWhichItDisturbsFewest()
  {
    const auto places =
      FindPlaces({ MakeCandidate("a1", "a", 2, kDisturbed),
                   MakeCandidate("a2", "a", 2, 0.0),
                   MakeCandidate("b1", "b", 8, 0.0) },
                 BuildValid(Request(2).RequiresOneRack(true)));
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), places.value()[0].Text());
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), places.value()[1].Text());
  }

  void DisturbanceGivesWayToTheRackOfTheData()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         OnlyPlace({ MakeCandidate("a", "r1", 2, kDisturbed),
                                     MakeCandidate("b", "r2", 8, 0.0) },
                                   Request(1).Rack(RackName("r1"))));
  }

  void DisturbanceGivesWayToPace()
  {
    constexpr double kFast = 1.6;
    CPPUNIT_ASSERT_EQUAL(
      std::string("a"),
      OnlyPlace({ MakeCandidate("a", "r", 8, kDisturbed, kFast),
                  MakeCandidate("b", "r", 8, 0.0) },
                Request(1).Pace(PacePreference::kFast)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UndisturbedPlaceSearchTest);

}
