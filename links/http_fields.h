#pragma once

#include "links/http_field.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace sardinecourse {

/** The header fields of one HTTP message, in the order received. */
class HttpFields
{
public:
  /** Value of the first field of that name, compared without case; empty if
   * there is none. */
  std::string_view Find(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  void Add(std::string aName, std::string aValue);
  /** Replaces the first field of that name, or adds one. */
  void Set(std::string_view aName, std::string aValue);
  /** Removes all fields of that name. */
  void Remove(std::string_view aName);

  auto begin() const { return this->fields.begin(); }
  auto end() const { return this->fields.end(); }

  auto operator<=>(const HttpFields&) const = default;

private:
  std::vector<HttpField> fields;
};

}
