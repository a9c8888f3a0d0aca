#include "contracts/policy_key_traits.h"
#include "contracts/policy_overrides_builder.h"
#include "core/reason.h"
#include "zones/settings_tree_builder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

PolicyOverrides
DeadlineOf(std::int64_t aDeadline)
{
  Reason reason;
  return *PolicyOverridesBuilder()
            .Level(SettingsLevel::kService)
            .Value(PolicyKey::kDeadline, aDeadline)
            .Build(reason);
}

SettingsScope
ScopeAt(int aDataCentre, int aTeam, int aService)
{
  const auto name = [](int aNumber) {
    return aNumber == 0 ? "" : std::to_string(aNumber);
  };
  return { DataCentreName(name(aDataCentre)),
           TeamName(name(aDataCentre == 0 ? 0 : aTeam)),
           ServiceName(name(aDataCentre * aTeam == 0 ? 0 : aService)) };
}

/** The deadline set at aScope or at its nearest ancestor, found by trying each
 * level upwards. */
std::int64_t
NearestDeadline(const std::map<SettingsScope, std::int64_t>& aSet,
                SettingsScope aScope)
{
  while (true) {
    if (const auto found = aSet.find(aScope); found != aSet.end()) {
      return found->second;
    }
    if (!aScope.service.Empty()) {
      aScope.service = {};
    } else if (!aScope.team.Empty()) {
      aScope.team = {};
    } else if (!aScope.dataCentre.Empty()) {
      aScope.dataCentre = {};
    } else {
      return TraitsOf(PolicyKey::kDeadline).defaultValue;
    }
  }
}

}

class SettingsTreeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTreeTest);
  CPPUNIT_TEST(ScopeInheritsFromNearestAncestor);
  CPPUNIT_TEST(RefusesServiceListedByTwoTeams);
  CPPUNIT_TEST_SUITE_END();

public:
  void ScopeInheritsFromNearestAncestor()
  {
    const bool holds = rc::check("nearest override wins", [] {
      std::map<SettingsScope, std::int64_t> set;
      SettingsTreeBuilder builder;
      for (int count = *rc::gen::inRange(0, 12); count > 0; --count) {
        // Service numbers are unique per team, so no two teams list the same
        // service.
        const int team = *rc::gen::inRange(0, 3);
        const int service = *rc::gen::element(0, 10 * team + 1);
        const SettingsScope scope =
          ScopeAt(*rc::gen::inRange(0, 3), team, service);
        const auto deadline = *rc::gen::inRange<std::int64_t>(10, 1000);
        if (set.emplace(scope, deadline).second) {
          builder.Scope(scope, DeadlineOf(deadline));
        }
      }
      Reason reason;
      const auto tree = builder.Build(reason);
      RC_ASSERT(tree.has_value());
      for (int index = 0; index < 3 * 3 * 2; ++index) {
        const int team = index / 3 % 3;
        const SettingsScope scope =
          ScopeAt(index % 3, team, index < 9 ? 0 : 10 * team + 1);
        const Policy policy = tree->Resolve(scope);
        RC_ASSERT(policy.Deadline().count() == NearestDeadline(set, scope));
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void RefusesServiceListedByTwoTeams()
  {
    Reason reason;
    SettingsTreeBuilder builder;
    builder.Scope(ScopeAt(1, 1, 1), {}).Scope(ScopeAt(1, 2, 1), {});
    CPPUNIT_ASSERT(!builder.Build(reason).has_value());
    CPPUNIT_ASSERT_EQUAL(
      std::string("two teams of data centre 1 list the same service"),
      reason.Text());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTreeTest);

}
