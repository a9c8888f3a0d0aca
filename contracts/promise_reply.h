#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Answer to the PromiseRequest with the same number. */
struct PromiseReply
{
  std::int64_t request = 0;
  bool granted = false;

  auto operator<=>(const PromiseReply&) const = default;
};

}
