#pragma once

#include <compare>
#include <string>

namespace sardinecourse {

/**
 * What a row of the platform's table holds: the value and the identity of the
 * attempt that wrote it, by which a writer whose answer was lost finds out
 * whether its write took effect.
 */
struct StoredValue
{
  std::string attempt;
  std::string value;

  auto operator<=>(const StoredValue&) const = default;
};

/** The text kept in the row: the attempt, a line feed and the value. */
std::string
EncodeStoredValue(const StoredValue& aValue);

/** A text without an attempt, written by another program, is all value. */
StoredValue
DecodeStoredValue(const std::string& aText);

}
