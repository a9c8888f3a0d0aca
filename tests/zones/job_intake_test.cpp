#include "zones/job_intake.h"

#include "contracts/domain_usage_builder.h"
#include "core/reason.h"
#include "tests/scheduling/sample_jobs.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kSmall = 1100;
constexpr std::int64_t kLarge = 49'000;
constexpr std::int32_t kUrgent = 0;
constexpr std::int32_t kOrdinary = 1;

DomainUsage
UsageOf(std::map<TeamName, std::int64_t> aTeams)
{
  std::int64_t bytes = 0;
  for (const auto& [team, used] : aTeams) {
    bytes += used;
  }
  return Valid(DomainUsageBuilder().Bytes(bytes).Teams(std::move(aTeams)));
}

bool
HasRoom(const DomainUsage& aUsage,
        const char* aTeam,
        std::int32_t aPriority,
        std::int64_t aBytes)
{
  Reason reason;
  return HasIntakeRoom(aUsage, TeamName(aTeam), aPriority, aBytes, reason);
}

}

/** Checks who is refused first when the accepted jobs of a domain take most of
 * the memory that each host can give them. */
class JobIntakeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JobIntakeTest);
  CPPUNIT_TEST(UrgentJobsHaveRoomWhenOthersHaveNone);
  CPPUNIT_TEST(SmallJobsHaveRoomWhenLargeOnesHaveNone);
  CPPUNIT_TEST(OneTeamLeavesRoomToOthers);
  CPPUNIT_TEST(AcceptedJobsNeverExceedTheBound);
  CPPUNIT_TEST(RefusalNamesBoundAndFigure);
  CPPUNIT_TEST(AmpleRoomIsNotPublished);
  CPPUNIT_TEST_SUITE_END();

public:
  void UrgentJobsHaveRoomWhenOthersHaveNone()
  {
    const std::int64_t quarter = kMaxIntakeBytes / 4;
    const DomainUsage usage = UsageOf({ { TeamName("a"), quarter },
                                        { TeamName("b"), quarter },
                                        { TeamName("c"), quarter } });
    CPPUNIT_ASSERT(!HasRoom(usage, "d", kOrdinary, kSmall));
    CPPUNIT_ASSERT(HasRoom(usage, "d", kUrgent, kSmall));
    CPPUNIT_ASSERT(HasRoom(usage, "a", kUrgent, kSmall));
  }

  void SmallJobsHaveRoomWhenLargeOnesHaveNone()
  {
    const std::int64_t used = kMaxIntakeBytes / 8 * 3 - 100'000;
    const DomainUsage usage =
      UsageOf({ { TeamName("a"), used }, { TeamName("b"), used } });
    CPPUNIT_ASSERT(!HasRoom(usage, "c", kOrdinary, kLarge));
    CPPUNIT_ASSERT(HasRoom(usage, "c", kOrdinary, kSmall));
  }

  void OneTeamLeavesRoomToOthers()
  {
    const DomainUsage usage =
      UsageOf({ { TeamName("a"), kMaxIntakeBytes / 2 } });
    CPPUNIT_ASSERT(!HasRoom(usage, "a", kOrdinary, kSmall));
    CPPUNIT_ASSERT(!HasRoom(usage, "a", kUrgent, kSmall));
    CPPUNIT_ASSERT(HasRoom(usage, "b", kOrdinary, kLarge));
  }

  void AcceptedJobsNeverExceedTheBound()
  {
    const bool holds = rc::check("intake", [] {
      std::map<TeamName, std::int64_t> teams;
      const auto sizes = *rc::gen::container<std::vector<std::int64_t>>(
        2000, rc::gen::inRange<std::int64_t>(kSmall, kLarge));
      const std::uint32_t seed = *rc::gen::inRange<std::uint32_t>(0, 1000);
      for (std::size_t job = 0; job < sizes.size(); ++job) {
        const std::size_t draw = job * 7919 + seed;
        const TeamName team(std::string(1, static_cast<char>('a' + draw % 5)));
        const auto priority = static_cast<std::int32_t>(draw / 5 % 3);
        Reason reason;
        if (HasIntakeRoom(UsageOf(teams), team, priority, sizes[job], reason)) {
          teams[team] += sizes[job];
        }
        RC_ASSERT(teams[team] <= kMaxIntakeBytes / 2);
      }
      RC_ASSERT(UsageOf(teams).Bytes() <= kMaxIntakeBytes);
    });
    CPPUNIT_ASSERT(holds);
  }

  void RefusalNamesBoundAndFigure()
  {
    Reason reason;
    const DomainUsage usage =
      UsageOf({ { TeamName("a"), kMaxIntakeBytes / 2 } });
    CPPUNIT_ASSERT(
      !HasIntakeRoom(usage, TeamName("a"), kOrdinary, kSmall, reason));
    for (const std::int64_t figure : { kMaxIntakeBytes / 2, kSmall }) {
      CPPUNIT_ASSERT_MESSAGE(reason.Message(),
                             reason.Message().find(std::to_string(figure)) !=
                               std::string::npos);
    }
  }

  /** Each change of the published usage makes hosts repeat an admission. */
  void AmpleRoomIsNotPublished()
  {
    const auto published = [](std::int64_t aBytes) {
      return PublishedUsage(UsageOf({ { TeamName("a"), aBytes } }));
    };
    CPPUNIT_ASSERT(published(kMaxIntakeBytes / 4) == DomainUsage());
    CPPUNIT_ASSERT(published(kMaxIntakeBytes / 2) != DomainUsage());
    CPPUNIT_ASSERT(published(10'000'001) == published(10'000'001 + kSmall));
    CPPUNIT_ASSERT(published(10'000'001).Bytes() >= 10'000'001);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobIntakeTest);

}
