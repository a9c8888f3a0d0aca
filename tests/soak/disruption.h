#pragma once

#include "core/instant.h"

#include <compare>
#include <cstddef>
#include <string>

namespace sardinecourse::harness {

/** Something that was done to a host, and how long it can affect requests. */
struct Disruption
{
  static constexpr std::size_t kAllHosts = static_cast<std::size_t>(-1);

  /** A host, or kAllHosts. */
  std::size_t host = 0;
  bool isPlanned = false;
  std::string name;
  Instant start{};
  Instant end{};

  auto operator<=>(const Disruption&) const = default;
};

}
