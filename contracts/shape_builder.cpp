#include "contracts/shape_builder.h"

#include "core/reason.h"

namespace sardinecourse {

ShapeBuilder&
ShapeBuilder::Members(std::int32_t aMembers)
{
  this->value.members = aMembers;
  return *this;
}

ShapeBuilder&
ShapeBuilder::AcceleratorsPerMember(std::int32_t aAcceleratorsPerMember)
{
  this->value.acceleratorsPerMember = aAcceleratorsPerMember;
  return *this;
}

std::optional<Shape>
ShapeBuilder::Build(Reason& aReason) const
{
  if (this->value.members < 1) {
    aReason = Reason(Step::kAdmission, "", "a shape needs at least one member");
    return std::nullopt;
  }
  if (this->value.acceleratorsPerMember < 0) {
    aReason = Reason(
      Step::kAdmission, "", "accelerators per member must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
