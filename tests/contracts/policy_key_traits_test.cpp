#include "contracts/policy_key_traits.h"

#include "contracts/policy.h"
#include "contracts/policy_builder.h"
#include "contracts/policy_overrides_builder.h"
#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

namespace sardinecourse {

class PolicyKeyTraitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PolicyKeyTraitsTest);
  CPPUNIT_TEST(TableFollowsEnumOrder);
  CPPUNIT_TEST(DefaultsAreWithinBounds);
  CPPUNIT_TEST(SettingsPageListsDefaultsAndBounds);
  CPPUNIT_TEST_SUITE_END();

public:
  void TableFollowsEnumOrder()
  {
    for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
      CPPUNIT_ASSERT(&TraitsOf(traits.key) == &traits);
    }
  }

  void DefaultsAreWithinBounds()
  {
    PolicyOverridesBuilder builder;
    for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
      builder.Value(traits.key, traits.defaultValue);
    }
    Reason reason;
    CPPUNIT_ASSERT(builder.Build(reason).has_value());
  }

  void SettingsPageListsDefaultsAndBounds()
  {
    std::ifstream file(SARDINECOURSE_SOURCE_DIR "/docs/SETTINGS.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
      if (traits.choices.empty()) {
        std::ostringstream row;
        row << "| `" << traits.name << "` | " << traits.defaultValue << " | "
            << traits.minimum << " to " << traits.maximum << " | "
            << SettingsLevelName(traits.lowest) << " |";
        CPPUNIT_ASSERT_MESSAGE(row.str(),
                               page.str().find(row.str()) != std::string::npos);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyKeyTraitsTest);

}
