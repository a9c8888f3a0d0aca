#pragma once

#include <compare>
#include <string>

namespace sardinecourse {

/**
 * Content of a row of the platform's table: the value and the identity of the
 * attempt that wrote it. A writer whose answer was lost compares the identity
 * with its own to find out whether its write took effect.
 */
struct StoredValue
{
  std::string attempt;
  std::string value;

  auto operator<=>(const StoredValue&) const = default;
};

/** Encodes the row as "attempt ", the identity, a line feed and the value. */
std::string
EncodeStoredValue(const StoredValue& aValue);

/** Decodes a row. A text without an attempt, as other programs write it, is
 * returned whole as the value. */
StoredValue
DecodeStoredValue(const std::string& aText);

}
