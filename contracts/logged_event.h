#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sardinecourse {

/** One log line: a decision or a change of state, with the values that led to
 * it. */
struct LoggedEvent
{
  using Value = std::variant<std::int64_t, std::string>;

  /** Wall-clock time of the writing host, in milliseconds since 1970-01-01
   * UTC. */
  Milliseconds at{ 0 };
  std::string event;
  /** Names and values, in the order in which they were written. */
  std::vector<std::pair<std::string, Value>> fields;

  /** Value of a field as text, a number in decimal; empty if the field is
   * missing. */
  std::string Text(std::string_view aField) const;
  /** Value of a numeric field; 0 if the field is missing or not a number. */
  std::int64_t Number(std::string_view aField) const;
  bool Has(std::string_view aField) const
  {
    return this->Find(aField) != nullptr;
  }

  auto operator<=>(const LoggedEvent&) const = default;

private:
  const Value* Find(std::string_view aField) const;
};

}
