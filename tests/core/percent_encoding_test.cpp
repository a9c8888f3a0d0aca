#include "core/percent_encoding.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace sardinecourse {

class PercentEncodingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PercentEncodingTest);
  CPPUNIT_TEST(DecodeRestoresAnyBytes);
  CPPUNIT_TEST(MalformedEscapesAreLeftUnchanged);
  CPPUNIT_TEST_SUITE_END();

public:
  void DecodeRestoresAnyBytes()
  {
    const bool holds =
      rc::check("percent encoding", [](const std::string& aText) {
        const std::string encoded = PercentEncode(aText);
        RC_ASSERT(encoded.find_first_of("/?&= ") == std::string::npos);
        RC_ASSERT(PercentDecode(encoded) == aText);
      });
    CPPUNIT_ASSERT(holds);
  }

  void MalformedEscapesAreLeftUnchanged()
  {
    for (const std::string text : { "%", "%4", "%zz", "a%-1" }) {
      CPPUNIT_ASSERT_EQUAL(text, PercentDecode(text));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a b"), PercentDecode("a%20b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PercentEncodingTest);

}
