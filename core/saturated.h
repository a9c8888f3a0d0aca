#pragma once

#include <cstdint>

namespace sardinecourse {

/** Sum of two numbers, or the limit of the type that it exceeds. */
std::int64_t
SaturatedSum(std::int64_t aLeft, std::int64_t aRight);

/** Product of two numbers, or the limit of the type that it exceeds. */
std::int64_t
SaturatedProduct(std::int64_t aLeft, std::int64_t aRight);

}
