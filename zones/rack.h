#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <utility>

namespace sardinecourse {

/** The workers of one rack, as a range of a list of workers that is sorted by
 * rack. */
class Rack
{
public:
  Rack(RackName aName, std::int32_t aFirst, std::int32_t aCount)
    : name(std::move(aName))
    , first(aFirst)
    , count(aCount)
  {
  }

  const RackName& Name() const { return this->name; }
  /** Index of its first worker. */
  std::int32_t First() const { return this->first; }
  /** Number of its workers. */
  std::int32_t Count() const { return this->count; }

  auto operator<=>(const Rack&) const = default;

private:
  RackName name;
  std::int32_t first = 0;
  std::int32_t count = 0;
};

}
