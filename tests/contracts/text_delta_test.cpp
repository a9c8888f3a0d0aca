#include "contracts/text_delta.h"

#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

class TextDeltaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TextDeltaTest);
  CPPUNIT_TEST(ApplyRestoresTheChangedText);
  CPPUNIT_TEST(RejectsDeltaMadeFromAnotherText);
  CPPUNIT_TEST_SUITE_END();

public:
  void ApplyRestoresTheChangedText()
  {
    const bool holds = rc::check("delta gives the text back", [] {
      // Two letters only, so that prefixes and suffixes often match.
      const auto text =
        rc::gen::container<std::string>(rc::gen::element('a', 'b'));
      const std::string before = *text;
      const std::string after = *text;
      const TextDelta delta = MakeDelta(before, after);
      Reason reason;
      const auto applied = ApplyDelta(before, delta, reason);
      RC_ASSERT(applied.has_value());
      RC_ASSERT(*applied == after);
      RC_ASSERT(delta.middle.size() <= after.size());
    });
    CPPUNIT_ASSERT(holds);
  }

  void RejectsDeltaMadeFromAnotherText()
  {
    const TextDelta delta = MakeDelta("quota: 16\n", "quota: 12\n");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), delta.middle);
    Reason reason;
    CPPUNIT_ASSERT(!ApplyDelta("quota: 9\n", delta, reason).has_value());
    CPPUNIT_ASSERT(reason.At() == Step::kSettings);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextDeltaTest);

}
