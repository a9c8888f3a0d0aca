#include "tests/scheduling/domain_world.h"
#include "zones/fairness/waiting_order.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

const Milliseconds kEstimate{ 1000 };
/** Three times the estimate of a job and 1 s more. */
constexpr Milliseconds kObjective{ 4000 };
constexpr Instant kStart{ Milliseconds(1'000'000) };
constexpr WallTime kWallStart{ Milliseconds(5'000'000) };

AdmittedJob
MakeJob(const std::string& aKey,
        std::int32_t aPriority,
        const std::string& aTeam,
        const std::string& aDataCentre,
        Milliseconds aAfterStart,
        std::int32_t aTasks = 1)
{
  return Valid(AdmittedJobBuilder()
                 .Key(JobKey(aKey))
                 .Queue(QueueName("queue"))
                 .Service(ServiceName("fretdesk"))
                 .Team(TeamName(aTeam))
                 .DataCentre(DataCentreName(aDataCentre))
                 .Priority(aPriority)
                 .Stretch(3.0)
                 .Allowance(Milliseconds(1000))
                 .Admitted(kWallStart + aAfterStart)
                 .Plan(Valid(JobPlanBuilder().Steps(
                   { Valid(QuarterStep(aTasks).Estimate(kEstimate)) }))));
}

DomainState
EmptyDomain()
{
  return { DomainTiming(), kStart, kStart };
}

void
Add(DomainState& aDomain, const AdmittedJob& aJob)
{
  aDomain.AddJob(
    aJob, std::nullopt, 1, kStart + (aJob.Admitted() - kWallStart));
}

/** Keys of the open jobs in the order in which they are served. */
std::vector<std::string>
OrderOf(const DomainState& aDomain, Instant aNow)
{
  const WaitingOrder order(aDomain, aNow);
  std::vector<std::tuple<bool, WallTime, std::string>> jobs;
  for (const JobKey& key : aDomain.Active()) {
    const TrackedJob& job = aDomain.Jobs().at(key);
    jobs.emplace_back(
      order.IsBeyondGuarantee(job), order.PositionOf(job), key.Text());
  }
  std::sort(jobs.begin(), jobs.end());
  std::vector<std::string> keys;
  keys.reserve(jobs.size());
  for (const auto& [isBeyond, position, key] : jobs) {
    keys.push_back(key);
  }
  return keys;
}

}

/** Order of waiting jobs while callers compete for too little room. */
class SharedRoomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharedRoomTest);
  CPPUNIT_TEST(JobsServedAlikeKeepTheirAge);
  CPPUNIT_TEST(TeamThatWasServedWorseGoesFirst);
  CPPUNIT_TEST(CallersOfCutDataCentreGoFirstAfterIt);
  CPPUNIT_TEST(UrgentJobWithinGuaranteeGoesFirst);
  CPPUNIT_TEST(JobWhoseCallersGaveUpLetsOthersGoFirst);
  CPPUNIT_TEST(NoTeamOrDataCentreStarves);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobsServedAlikeKeepTheirAge()
  {
    DomainState domain = EmptyDomain();
    domain.Served().Add(
      1, TeamName("red"), DataCentreName("north"), 9.0, true, kStart);
    Add(domain, MakeJob("b", 1, "red", "north", Milliseconds(0)));
    Add(domain, MakeJob("a", 1, "blue", "south", Milliseconds(5)));
    CPPUNIT_ASSERT(std::vector<std::string>({ "b", "a" }) ==
                   OrderOf(domain, kStart + Milliseconds(10)));
  }

  void TeamThatWasServedWorseGoesFirst()
  {
    DomainState domain = EmptyDomain();
    for (const bool isRed : { true, false }) {
      domain.Served().Add(1,
                          TeamName(isRed ? "red" : "blue"),
                          DataCentreName("north"),
                          9.0,
                          isRed,
                          kStart);
    }
    Add(domain, MakeJob("older", 1, "red", "north", Milliseconds(0)));
    Add(domain, MakeJob("newer", 1, "blue", "north", Milliseconds(1000)));
    CPPUNIT_ASSERT(std::vector<std::string>({ "newer", "older" }) ==
                   OrderOf(domain, kStart + Milliseconds(1000)));
  }

  // While a data centre was cut off, its jobs were admitted late; some open
  // ones are late already.
  void CallersOfCutDataCentreGoFirstAfterIt()
  {
    DomainState domain = EmptyDomain();
    Add(domain, MakeJob("late", 1, "red", "cut", Milliseconds(0)));
    Add(domain, MakeJob("other", 1, "red", "north", Milliseconds(4500)));
    Add(domain, MakeJob("waits", 1, "red", "cut", Milliseconds(5000)));
    CPPUNIT_ASSERT(std::vector<std::string>({ "late", "waits", "other" }) ==
                   OrderOf(domain, kStart + Milliseconds(5000)));
  }

  void UrgentJobWithinGuaranteeGoesFirst()
  {
    DomainState domain = EmptyDomain();
    domain.SetGuarantees({ { TeamName("red"), 1 }, { TeamName("blue"), 2 } });
    Add(domain, MakeJob("beyond", 0, "red", "north", Milliseconds(0)));
    Add(domain, MakeJob("within", 0, "blue", "north", Milliseconds(1000)));
    CPPUNIT_ASSERT(std::vector<std::string>({ "within", "beyond" }) ==
                   OrderOf(domain, kStart + Milliseconds(1000)));
  }

  void JobWhoseCallersGaveUpLetsOthersGoFirst()
  {
    DomainState domain = EmptyDomain();
    Add(domain, MakeJob("given-up", 1, "red", "north", Milliseconds(0)));
    Add(domain, MakeJob("waits", 1, "red", "north", 2 * kObjective));
    CPPUNIT_ASSERT(std::vector<std::string>({ "waits", "given-up" }) ==
                   OrderOf(domain, kStart + 3 * kObjective));
  }

  // Teams and data centres ask for more than there is, for ever, and the jobs
  // of some of them are always late. The queue serves the first job once a
  // second.
  void NoTeamOrDataCentreStarves()
  {
    rc::check("every job is served before those admitted much later", [] {
      constexpr int kJobs = 60;
      DomainState domain = EmptyDomain();
      const auto name = [](const char* aPrefix) {
        return aPrefix + std::to_string(*rc::gen::inRange(0, 3));
      };
      for (int job = 0; job < kJobs; ++job) {
        const Milliseconds arrival(*rc::gen::inRange(300, 900) * job);
        const Instant now = kStart + arrival;
        Add(domain,
            MakeJob("job-" + std::to_string(job),
                    1,
                    name("team-"),
                    name("centre-"),
                    arrival,
                    *rc::gen::inRange(1, 9)));
        if (*rc::gen::arbitrary<bool>()) {
          continue;
        }
        const std::string served = OrderOf(domain, now).front();
        const TrackedJob& tracked = *domain.FindJob(JobKey(served));
        for (const JobKey& key : domain.Active()) {
          // Two objectives for the shares, three for given-up callers.
          RC_ASSERT(tracked.Job().Admitted() <=
                    domain.Jobs().at(key).Job().Admitted() + 5 * kObjective);
        }
        domain.Served().Add(1,
                            tracked.Job().Team(),
                            tracked.Job().DataCentre(),
                            9.0,
                            now < tracked.FirstSeen() + kObjective,
                            now);
        domain.Retire(JobKey(served));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRoomTest);

}
