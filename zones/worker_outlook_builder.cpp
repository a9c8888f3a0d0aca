#include "zones/worker_outlook_builder.h"

#include "core/reason.h"

namespace sardinecourse {

WorkerOutlookBuilder&
WorkerOutlookBuilder::IsOpen(bool aIsOpen)
{
  this->value.isOpen = aIsOpen;
  return *this;
}

WorkerOutlookBuilder&
WorkerOutlookBuilder::Pace(double aPace)
{
  this->value.pace = aPace;
  return *this;
}

WorkerOutlookBuilder&
WorkerOutlookBuilder::Disturbance(double aDisturbance)
{
  this->value.disturbance = aDisturbance;
  return *this;
}

std::optional<WorkerOutlook>
WorkerOutlookBuilder::Build(Reason& aReason) const
{
  // Written so that a value that is not a number is refused too.
  if (!(this->value.pace > 0.0) || !(this->value.disturbance >= 0.0)) {
    aReason = Reason(Step::kPlacement,
                     "",
                     "a worker's pace must be positive and its disturbance "
                     "must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
