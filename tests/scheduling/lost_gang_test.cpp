#include "tests/scheduling/domain_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
constexpr std::int32_t kWorkers = 6;

/** Lists a worker with its data centre; one with a time left is leaving. */
void
List(DomainWorld& aWorld,
     std::int32_t aWorker,
     std::optional<Milliseconds> aTimeLeft = std::nullopt)
{
  Reason reason;
  aWorld.Domain().ListWorker(
    Valid(WorkerListingBuilder()
            .Name(WorkerName("w" + std::to_string(aWorker)))
            .Service(ServiceName("fretdesk"))
            .Address(*Endpoint::Parse("127.0.0.1:1", reason))
            .DataCentre(DataCentreName(aWorker % 2 == 0 ? "even" : "odd"))
            .Rack(RackName("r" + std::to_string(aWorker)))
            .Capacity(MakeResources(64'000, 131'072, 8))
            .IsLeaving(aTimeLeft.has_value())
            .TimeLeft(aTimeLeft)),
    aWorld.Now());
}

/** Starts a gang on aMembers workers of a fleet in two data centres. */
TaskUnit&
StartGang(DomainWorld& aWorld,
          std::int32_t aMembers,
          Milliseconds aEstimate,
          bool aIsCheckpointing)
{
  for (std::int32_t worker = 0; worker < kWorkers; ++worker) {
    List(aWorld, worker);
  }
  aWorld.PollAll();
  aWorld.Submit(
    MakeAdmitted(
      "gang",
      1,
      { Valid(WholeWorkerGang(aMembers).Estimate(aEstimate).IsCheckpointing(
        aIsCheckpointing)) }),
    kLongMs,
    false);
  aWorld.Pass({});
  aWorld.PollAll();
  return aWorld.Domain().FindJob(JobKey("gang"))->Open(0);
}

/** Whether the gang is given up once one of its workers has to leave in 1.7 s.
 */
bool
IsGivenUp(Milliseconds aEstimate, bool aIsCheckpointing)
{
  DomainWorld world(kWorkers, 1);
  TaskUnit& gang = StartGang(world, 2, aEstimate, aIsCheckpointing);
  const std::string name = gang.Members().front().worker.Text();
  List(world, std::stoi(name.substr(1)), Milliseconds(1700));
  world.Advance(200);
  world.PollAll();
  world.Pass({});
  return gang.AbandonedFor() == StopCause::kWorkerLeaving;
}

}

/** Gangs, which lose all their work when one member is lost, while workers are
 * taken away and data centres are cut off. */
class LostGangTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LostGangTest);
  CPPUNIT_TEST(GangThatCannotEndBeforeItsWorkerLeavesIsGivenUp);
  CPPUNIT_TEST(GangThatMayEndBeforeItsWorkerLeavesGoesOn);
  CPPUNIT_TEST(GangThatSavesItsWorkGoesOnUntilItsWorkerLeaves);
  CPPUNIT_TEST(GangStartsInOneDataCentre);
  CPPUNIT_TEST(GangThatFitsIntoNoDataCentreUsesFew);
  CPPUNIT_TEST_SUITE_END();

public:
  // All members worked on until the worker had left, and the gang started anew
  // only then.
  void GangThatCannotEndBeforeItsWorkerLeavesIsGivenUp()
  {
    CPPUNIT_ASSERT(IsGivenUp(Milliseconds(10'000), false));
  }

  void GangThatMayEndBeforeItsWorkerLeavesGoesOn()
  {
    CPPUNIT_ASSERT(!IsGivenUp(Milliseconds(3000), false));
  }

  void GangThatSavesItsWorkGoesOnUntilItsWorkerLeaves()
  {
    CPPUNIT_ASSERT(!IsGivenUp(Milliseconds(10'000), true));
  }

  // Each gang had members in each data centre, so the cut of any of them ended
  // every gang.
  void GangStartsInOneDataCentre()
  {
    DomainWorld world(kWorkers, 1);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 3 },
                         this->MembersInLargerPart(world, 3));
  }

  void GangThatFitsIntoNoDataCentreUsesFew()
  {
    DomainWorld world(kWorkers, 1);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 3 },
                         this->MembersInLargerPart(world, 4));
  }

private:
  /** Number of the gang's members in the data centre with most of them. */
  static std::ptrdiff_t MembersInLargerPart(DomainWorld& aWorld,
                                            std::int32_t aMembers)
  {
    const std::vector<MemberRun>& members =
      StartGang(aWorld, aMembers, Milliseconds(1000), false).Members();
    const auto even = std::count_if(
      members.begin(), members.end(), [](const MemberRun& aMember) {
        return std::stoi(aMember.worker.Text().substr(1)) % 2 == 0;
      });
    return std::max(even, aMembers - even);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostGangTest);

}
