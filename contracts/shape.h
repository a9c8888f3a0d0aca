#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Adjacent accelerators that a gang needs: a number of members, all in one
 * rack, each with its accelerators on one worker. */
class Shape
{
public:
  /** Number of gang members. */
  std::int32_t Members() const { return this->members; }
  /** Accelerators per member, all on one worker. */
  std::int32_t AcceleratorsPerMember() const
  {
    return this->acceleratorsPerMember;
  }

  auto operator<=>(const Shape&) const = default;

private:
  friend class ShapeBuilder;

  std::int32_t members = 1;
  std::int32_t acceleratorsPerMember = 1;
};

}
