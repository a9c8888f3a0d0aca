#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Why a minion was chosen. */
enum class RoutingChoice : std::uint8_t
{
  /** The less loaded of two random minions, or the next one with a free slot.
   */
  kBetterOfTwo,
  /** No healthy minion of this data centre had a free slot. */
  kSpilled,
  /** No healthy minion of any data centre had a free slot. */
  kUnhealthyOnly
};

constexpr std::string_view
RoutingChoiceName(RoutingChoice aChoice)
{
  switch (aChoice) {
    case RoutingChoice::kBetterOfTwo:
      return "better_of_two";
    case RoutingChoice::kSpilled:
      return "spilled";
    case RoutingChoice::kUnhealthyOnly:
      return "unhealthy_only";
  }
  return "unknown";
}

}
