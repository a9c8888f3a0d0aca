#include "machines/resources_builder.h"
#include "tests/zones/sample_values.h"
#include "zones/candidate_worker_builder.h"
#include "zones/pace/pace_class.h"
#include "zones/place_search.h"
#include "zones/placement_request_builder.h"
#include "zones/worker_outlook_builder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace sardinecourse {

namespace {

constexpr double kSlow = 0.6;
constexpr double kUnmeasured = kDoubtfulPace;
constexpr double kTypical = 1.0;
constexpr double kFast = 1.6;

Resources
Accelerators(std::int64_t aCount)
{
  return BuildValid(ResourcesBuilder()
                      .MilliCores(8000 * aCount)
                      .MemoryMb(16'384 * aCount)
                      .Accelerators(aCount));
}

CandidateWorker
MakeCandidate(const std::string& aName,
              const std::string& aRack,
              double aPace,
              std::int64_t aFree = 8,
              std::int32_t aPenalty = 0)
{
  return BuildValid(CandidateWorkerBuilder()
                      .Name(WorkerName(aName))
                      .Rack(RackName(aRack))
                      .Free(Accelerators(aFree))
                      .Total(Accelerators(8))
                      .MaxTasks(100)
                      .Penalty(aPenalty)
                      .Outlook(BuildValid(WorkerOutlookBuilder().Pace(aPace))));
}

PlacementRequestBuilder
Request(std::int32_t aCount, PacePreference aPace)
{
  return PlacementRequestBuilder()
    .Need(Accelerators(8))
    .Count(aCount)
    .Pace(aPace);
}

std::set<std::string>
NamesOf(const std::vector<WorkerName>& aPlaces)
{
  std::set<std::string> names;
  for (const WorkerName& place : aPlaces) {
    names.insert(place.Text());
  }
  return names;
}

using Names = std::set<std::string>;

}

/** Where units go whose workers differ in pace. */
class PacedPlaceSearchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PacedPlaceSearchTest);
  CPPUNIT_TEST(TightGangAvoidsRackWithSlowMember);
  CPPUNIT_TEST(TightGangTakesUnmeasuredWorkersBeforeSlowOnes);
  CPPUNIT_TEST(TightGangTakesRackWithFewestUnmeasuredMembers);
  CPPUNIT_TEST(TightGangLeavesFastWorkersThatItCannotUse);
  CPPUNIT_TEST(TightGangStartsOnSlowWorkersWhenNoOthersAreFree);
  CPPUNIT_TEST(GangWithSlackTakesWorkersOfLikePace);
  CPPUNIT_TEST(SingleTasksWithSlackFillSlowWorkersFirst);
  CPPUNIT_TEST(FailingFastWorkerIsUsedAfterSoundSlowOne);
  CPPUNIT_TEST(WorkersOfLikePaceAreFilledAsWithoutPreference);
  CPPUNIT_TEST_SUITE_END();

public:
  // The first rack is the fuller one, which a search without pace prefers.
  void TightGangAvoidsRackWithSlowMember()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kFast),    MakeCandidate("a2", "a", kSlow),
      MakeCandidate("b1", "b", kTypical), MakeCandidate("b2", "b", kTypical),
      MakeCandidate("b3", "b", kSlow),
    };
    const auto places = FindPlaces(
      workers,
      BuildValid(Request(2, PacePreference::kFast).RequiresOneRack(true)));
    CPPUNIT_ASSERT(NamesOf(places.value()) == (Names{ "b1", "b2" }));
  }

  void TightGangTakesUnmeasuredWorkersBeforeSlowOnes()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kSlow),
      MakeCandidate("a2", "a", kUnmeasured),
      MakeCandidate("a3", "a", kUnmeasured),
      MakeCandidate("a4", "a", kFast),
    };
    const auto places =
      FindPlaces(workers, BuildValid(Request(2, PacePreference::kFast)));
    CPPUNIT_ASSERT(NamesOf(places.value()) == (Names{ "a2", "a4" }));
  }

  void TightGangTakesRackWithFewestUnmeasuredMembers()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kUnmeasured),
      MakeCandidate("a2", "a", kUnmeasured),
      MakeCandidate("b1", "b", kUnmeasured),
      MakeCandidate("b2", "b", kTypical),
      MakeCandidate("b3", "b", kSlow),
    };
    const auto places = FindPlaces(
      workers,
      BuildValid(Request(2, PacePreference::kFast).RequiresOneRack(true)));
    CPPUNIT_ASSERT(NamesOf(places.value()) == (Names{ "b1", "b2" }));
  }

  void TightGangLeavesFastWorkersThatItCannotUse()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kFast),
      MakeCandidate("a2", "a", kTypical),
      MakeCandidate("a3", "a", kTypical),
      MakeCandidate("a4", "a", kSlow),
    };
    const auto places =
      FindPlaces(workers, BuildValid(Request(2, PacePreference::kFast)));
    CPPUNIT_ASSERT(NamesOf(places.value()) == (Names{ "a2", "a3" }));
  }

  void TightGangStartsOnSlowWorkersWhenNoOthersAreFree()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kSlow),
      MakeCandidate("a2", "a", kFast),
    };
    CPPUNIT_ASSERT(
      FindPlaces(workers, BuildValid(Request(2, PacePreference::kFast))));
  }

  void GangWithSlackTakesWorkersOfLikePace()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kFast),    MakeCandidate("a2", "a", kSlow),
      MakeCandidate("a3", "a", kTypical), MakeCandidate("a4", "a", kTypical),
      MakeCandidate("a5", "a", kTypical),
    };
    const auto places =
      FindPlaces(workers, BuildValid(Request(3, PacePreference::kSlow)));
    CPPUNIT_ASSERT(NamesOf(places.value()) == (Names{ "a3", "a4", "a5" }));
  }

  void SingleTasksWithSlackFillSlowWorkersFirst()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kFast),
      MakeCandidate("a2", "a", kTypical),
      MakeCandidate("a3", "a", kSlow),
    };
    const auto places =
      FindSomePlaces(workers, BuildValid(Request(2, PacePreference::kSlow)));
    CPPUNIT_ASSERT(NamesOf(places) == (Names{ "a2", "a3" }));
  }

  void FailingFastWorkerIsUsedAfterSoundSlowOne()
  {
    const std::vector<CandidateWorker> workers{
      MakeCandidate("a1", "a", kFast, 8, 2),
      MakeCandidate("a2", "a", kSlow),
    };
    const PlacementRequest request =
      BuildValid(Request(1, PacePreference::kFast));
    CPPUNIT_ASSERT(NamesOf(FindPlaces(workers, request).value()) ==
                   Names{ "a2" });
    CPPUNIT_ASSERT(NamesOf(FindSomePlaces(workers, request)) == Names{ "a2" });
  }

  void WorkersOfLikePaceAreFilledAsWithoutPreference()
  {
    std::vector<CandidateWorker> workers;
    constexpr int kWorkers = 40;
    workers.reserve(kWorkers);
    for (int worker = 0; worker < kWorkers; ++worker) {
      workers.push_back(MakeCandidate("w" + std::to_string(worker),
                                      "r" + std::to_string(worker / 8),
                                      kTypical,
                                      worker % 9,
                                      worker % 7 == 0 ? 1 : 0));
    }
    for (const PacePreference pace :
         { PacePreference::kFast, PacePreference::kSlow }) {
      for (const std::int32_t count : { 1, 3, 6, 20 }) {
        for (const bool isOneRack : { true, false }) {
          const auto request = [&](PacePreference aPace) {
            return BuildValid(PlacementRequestBuilder()
                                .Need(Accelerators(2))
                                .Count(count)
                                .RequiresOneRack(isOneRack)
                                .Pace(aPace));
          };
          const PlacementRequest plain = request(PacePreference::kNone);
          CPPUNIT_ASSERT(FindPlaces(workers, plain) ==
                         FindPlaces(workers, request(pace)));
          CPPUNIT_ASSERT(FindSomePlaces(workers, plain) ==
                         FindSomePlaces(workers, request(pace)));
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacedPlaceSearchTest);

}
