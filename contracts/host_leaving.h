#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Announces that the sender starts a planned shutdown. */
struct HostLeaving
{
  std::int64_t incarnation = 0;

  auto operator<=>(const HostLeaving&) const = default;
};

}
