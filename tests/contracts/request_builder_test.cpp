#include "contracts/request_builder.h"

#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

class RequestBuilderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestBuilderTest);
  CPPUNIT_TEST(NamesThatTheLogWouldKeepAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void NamesThatTheLogWouldKeepAreBounded()
  {
    const std::string longest(128, 's');
    Reason reason;
    RequestBuilder request;
    request.Identity("a").Service(ServiceName(longest)).Team(TeamName("t"));
    CPPUNIT_ASSERT_MESSAGE(reason.Message(), request.Build(reason));
    request.Service(ServiceName(longest + "s"));
    CPPUNIT_ASSERT(!request.Build(reason));
    request.Service(ServiceName("s")).Team(TeamName(longest + "t"));
    CPPUNIT_ASSERT(!request.Build(reason));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestBuilderTest);

}
