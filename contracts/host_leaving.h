#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** The sender begins a planned stop. */
struct HostLeaving
{
  std::int64_t incarnation = 0;

  auto operator<=>(const HostLeaving&) const = default;
};

}
