#include "core/endpoint.h"
#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

class EndpointTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndpointTest);
  CPPUNIT_TEST(ParsesIpAddresses);
  CPPUNIT_TEST(RejectsHostNamesAndInvalidPorts);
  CPPUNIT_TEST_SUITE_END();

public:
  void ParsesIpAddresses()
  {
    Reason reason;
    const auto ipV4 = Endpoint::Parse("127.0.0.1:8080", reason);
    CPPUNIT_ASSERT(ipV4.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8080"), ipV4->Text());
    const auto ipV6 = Endpoint::Parse("[::1]:80", reason);
    CPPUNIT_ASSERT(ipV6.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"), ipV6->Text());
  }

  void RejectsHostNamesAndInvalidPorts()
  {
    for (const char* text :
         { "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:x", "" }) {
      Reason reason;
      CPPUNIT_ASSERT(!Endpoint::Parse(text, reason).has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(text), reason.Peer());
      CPPUNIT_ASSERT(reason.At() == Step::kDecode);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);

}
