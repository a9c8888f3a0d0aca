#pragma once

#include "contracts/shape.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Shape; Build() is empty, with the reason, when a field is missing
 * or out of range. */
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
