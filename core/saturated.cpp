#include "core/saturated.h"

#include <boost/safe_numerics/checked_default.hpp>
#include <boost/safe_numerics/checked_integer.hpp>
#include <limits>

namespace sardinecourse {

namespace checked = boost::safe_numerics::checked;

namespace {

using Limits = std::numeric_limits<std::int64_t>;

}

std::int64_t
SaturatedSum(std::int64_t aLeft, std::int64_t aRight)
{
  const auto sum = checked::add<std::int64_t>(aLeft, aRight);
  if (!sum.exception()) {
    return static_cast<std::int64_t>(sum);
  }
  // Only terms of the same sign overflow.
  return aLeft < 0 ? Limits::min() : Limits::max();
}

std::int64_t
SaturatedProduct(std::int64_t aLeft, std::int64_t aRight)
{
  const auto product = checked::multiply<std::int64_t>(aLeft, aRight);
  if (!product.exception()) {
    return static_cast<std::int64_t>(product);
  }
  return (aLeft < 0) == (aRight < 0) ? Limits::max() : Limits::min();
}

}
