#include "tests/reclaim/placement_world.h"
#include "zones/data_centre_builder.h"
#include "zones/rack_order.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace {

constexpr int kTeams = 3;

/** The commands need no model: PlacementWorld checks its own state. Counts the
 * submitted jobs to number them. */
class NoModel
{
public:
  int submitted = 0;
};

using Command = rc::state::Command<NoModel, PlacementWorld>;

class SubmitJob : public Command
{
public:
  void apply(NoModel& aModel) const override { ++aModel.submitted; }
  void run(const NoModel& aModel, PlacementWorld& aWorld) const override
  {
    aWorld.Submit(
      BuildValid(JobBuilder()
                   .Team(TeamName("team-" + std::to_string(this->team)))
                   .Key(JobKey("job-" + std::to_string(aModel.submitted)))
                   .GangShape(MakeShape(this->members, this->accelerators))
                   .CoresPerMember(this->cores)
                   .Urgent(this->urgent)));
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "Submit team-" << this->team << ' ' << this->members << 'x'
            << this->accelerators << " cores=" << this->cores
            << " urgent=" << this->urgent;
  }

private:
  int team = *rc::gen::inRange(0, kTeams);
  int members = *rc::gen::inRange(1, 4);
  int accelerators = *rc::gen::inRange(0, 5);
  int cores = *rc::gen::element(1, 8, 16, 40);
  bool urgent = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
};

class Tick : public Command
{
public:
  void run(const NoModel&, PlacementWorld& aWorld) const override
  {
    aWorld.Tick();
  }
  void show(std::ostream& aStream) const override { aStream << "Tick"; }
};

class StopVictims : public Command
{
public:
  void run(const NoModel&, PlacementWorld& aWorld) const override
  {
    aWorld.StopVictims();
  }
  void show(std::ostream& aStream) const override { aStream << "StopVictims"; }
};

class ClaimEverything : public Command
{
public:
  void run(const NoModel&, PlacementWorld& aWorld) const override
  {
    aWorld.ClaimEverything();
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "ClaimEverything";
  }
};

/** Calls a member function of PlacementWorld with a random number, which
 * selects the job or worker it acts on. */
template<void (PlacementWorld::*kAct)(std::size_t)>
class Pick : public Command
{
public:
  void run(const NoModel&, PlacementWorld& aWorld) const override
  {
    (aWorld.*kAct)(this->number);
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "Pick " << this->number;
  }

private:
  std::size_t number = *rc::gen::inRange<std::size_t>(2, 100);
};

class Advance : public Command
{
public:
  void run(const NoModel&, PlacementWorld& aWorld) const override
  {
    aWorld.Advance(Milliseconds(this->time));
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "Advance " << this->time;
  }

private:
  int time = *rc::gen::inRange(1, 2'000'000);
};

/** Teams whose guarantees fit together; a guarantee that would not fit is left
 * out. */
std::vector<Team>
GenerateTeams(const std::vector<Worker>& aWorkers)
{
  std::vector<Team> teams;
  for (int team = 0; team < kTeams; ++team) {
    const std::string name = "team-" + std::to_string(team);
    const Shape shape =
      MakeShape(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 5));
    const int count = *rc::gen::inRange(1, 3);
    const int guaranteedAccelerators =
      count * shape.Members() * shape.AcceleratorsPerMember();
    const int quota = guaranteedAccelerators + *rc::gen::inRange(0, 12);
    teams.push_back(MakeTeam(name, quota, { { shape, count } }));
    Reason reason;
    const DataCentre dataCentre = BuildValid(DataCentreBuilder()
                                               .Name(DataCentreName("one"))
                                               .Workers(aWorkers)
                                               .Teams(teams));
    if (!GuaranteesFit(dataCentre, reason)) {
      teams.back() = MakeTeam(name, quota, {});
    }
  }
  return teams;
}

}

class ReclaimFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReclaimFuzzTest);
  CPPUNIT_TEST(AllGuaranteesCanBeReclaimedAfterAnyCommands);
  CPPUNIT_TEST(PackGuaranteesFitsExactlyWhenBruteForceFits);
  CPPUNIT_TEST_SUITE_END();

public:
  void AllGuaranteesCanBeReclaimedAfterAnyCommands()
  {
    CPPUNIT_ASSERT(rc::check("every guarantee can be reclaimed", [] {
      const std::vector<Worker> workers =
        MakeWorkers(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4), 4);
      const std::vector<Team> teams = GenerateTeams(workers);
      RC_LOG() << workers.size() << " workers of 4" << std::endl;
      for (const Team& team : teams) {
        RC_LOG() << team.Name().Text() << " quota=" << team.Quota();
        for (const Guarantee& guarantee : team.Guarantees()) {
          RC_LOG() << " guarantee=" << guarantee.Count() << "*"
                   << guarantee.GangShape().Members() << "x"
                   << guarantee.GangShape().AcceleratorsPerMember();
        }
        RC_LOG() << std::endl;
      }
      PlacementWorld world(workers, teams);
      // A command that is listed more than once is chosen more often:
      // submissions three times, decisions twice as often as the others.
      rc::state::check(
        NoModel(),
        world,
        rc::state::gen::execOneOfWithArgs<SubmitJob,
                                          SubmitJob,
                                          SubmitJob,
                                          Tick,
                                          Tick,
                                          StopVictims,
                                          ClaimEverything,
                                          Pick<&PlacementWorld::Finish>,
                                          Pick<&PlacementWorld::Cancel>,
                                          Pick<&PlacementWorld::Toggle>,
                                          Advance>());
      world.ClaimEverything();
    }));
  }

  void PackGuaranteesFitsExactlyWhenBruteForceFits()
  {
    CPPUNIT_ASSERT(rc::check("packing agrees with brute force", [] {
      const std::vector<Worker> workers =
        MakeWorkers(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4), 4);
      std::vector<AcceleratorMask> masks;
      std::vector<GuaranteeUnit> units;
      std::vector<Shape> shapes;
      for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        masks.push_back(*rc::gen::inRange<AcceleratorMask>(0, 16));
      }
      const int count = *rc::gen::inRange(1, 6);
      for (int unit = 0; unit < count; ++unit) {
        shapes.push_back(
          MakeShape(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 5)));
        units.emplace_back(unit, shapes.back());
      }
      const std::vector<Rack> racks = RacksOf(workers);
      const bool fits =
        PackGuarantees(racks, masks, units).size() == units.size();
      RC_ASSERT(fits == PackingOracle(racks, shapes).Fits(masks));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReclaimFuzzTest);

}
