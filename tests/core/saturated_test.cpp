#include "core/saturated.h"

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <rapidcheck.h>
#include <vector>

namespace sardinecourse {

namespace {

using boost::multiprecision::cpp_int;
using Limits = std::numeric_limits<std::int64_t>;

std::int64_t
Clamped(const cpp_int& aValue)
{
  return static_cast<std::int64_t>(
    std::clamp(aValue, cpp_int(Limits::min()), cpp_int(Limits::max())));
}

rc::Gen<std::int64_t>
AnyNumber()
{
  return rc::gen::oneOf(
    rc::gen::arbitrary<std::int64_t>(),
    rc::gen::inRange(Limits::min(), Limits::max()),
    rc::gen::elementOf(std::vector<std::int64_t>{
      Limits::min(), Limits::max(), Limits::max() - 1, -1, 0, 1, 1LL << 32 }));
}

}

class SaturatedTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SaturatedTest);
  CPPUNIT_TEST(MatchesWiderArithmetic);
  CPPUNIT_TEST_SUITE_END();

public:
  void MatchesWiderArithmetic()
  {
    const bool holds = rc::check("saturated sum and product", [] {
      const std::int64_t left = *AnyNumber();
      const std::int64_t right = *AnyNumber();
      RC_ASSERT(SaturatedSum(left, right) ==
                Clamped(cpp_int(left) + cpp_int(right)));
      RC_ASSERT(SaturatedProduct(left, right) ==
                Clamped(cpp_int(left) * cpp_int(right)));
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SaturatedTest);

}
