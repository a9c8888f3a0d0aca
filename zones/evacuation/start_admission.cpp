#include "zones/evacuation/start_admission.h"

#include "contracts/domain_timing.h"
#include "zones/evacuation/evacuation_view.h"

namespace sardinecourse {

namespace {

/** Covers the estimate of the worker's clock, by which the worker refuses late
 * starts: 2% of the age of its latest report, and the duration of a poll. */
constexpr Milliseconds kClockMargin{ 200 };

}

bool
IsCurrent(const EvacuationView& aView,
          const DomainTiming& aTiming,
          Instant aNow)
{
  if (!aTiming.EvacuateTime()) {
    return true;
  }
  const Milliseconds maxAge =
    *aTiming.EvacuateTime() - DomainTiming::kStartWindow - kClockMargin;
  return aView.ConfirmedAt() && aNow <= *aView.ConfirmedAt() + maxAge;
}

StartAdmission
AdmitStart(const DataCentreName& aDataCentre,
           const EvacuationView& aView,
           const DomainTiming& aTiming,
           Instant aNow)
{
  if (aView.IsClosed(aDataCentre)) {
    return StartAdmission::kClosed;
  }
  return IsCurrent(aView, aTiming, aNow) ? StartAdmission::kOpen
                                         : StartAdmission::kViewTooOld;
}

}
