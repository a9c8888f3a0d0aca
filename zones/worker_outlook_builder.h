#pragma once

#include "zones/worker_outlook.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a WorkerOutlook; Build() returns nothing and sets the reason when the
 * pace is not positive or the disturbance is negative. */
class WorkerOutlookBuilder
{
public:
  WorkerOutlookBuilder& IsOpen(bool aIsOpen);
  WorkerOutlookBuilder& Pace(double aPace);
  WorkerOutlookBuilder& Disturbance(double aDisturbance);
  std::optional<WorkerOutlook> Build(Reason& aReason) const;

private:
  WorkerOutlook value;
};

}
