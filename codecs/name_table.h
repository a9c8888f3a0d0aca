#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace sardinecourse {

/** Maps the values of an enumeration to their names in messages. */
template<typename Value, std::size_t kSize>
using NameTable = std::array<std::pair<Value, std::string_view>, kSize>;

/** Name of a value. The table must contain every value of the enumeration. */
template<typename Value, std::size_t kSize>
std::string_view
NameIn(const NameTable<Value, kSize>& aTable, Value aValue)
{
  const auto* const found =
    std::find_if(aTable.begin(), aTable.end(), [aValue](const auto& aPair) {
      return aPair.first == aValue;
    });
  return found->second;
}

/** Value with the given name; empty when the table has no such name. */
template<typename Value, std::size_t kSize>
std::optional<Value>
ValueIn(const NameTable<Value, kSize>& aTable, std::string_view aName)
{
  const auto* const found =
    std::find_if(aTable.begin(), aTable.end(), [aName](const auto& aPair) {
      return aPair.second == aName;
    });
  if (found == aTable.end()) {
    return std::nullopt;
  }
  return found->first;
}

}
