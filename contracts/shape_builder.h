#pragma once

#include "contracts/shape.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Shape. Build() returns nullopt and sets aReason if there are no
 * members or the accelerators per member are negative. */
class ShapeBuilder
{
public:
  ShapeBuilder& Members(std::int32_t aMembers);
  ShapeBuilder& AcceleratorsPerMember(std::int32_t aAcceleratorsPerMember);
  std::optional<Shape> Build(Reason& aReason) const;

private:
  Shape value;
};

}
