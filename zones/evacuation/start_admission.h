#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstdint>

namespace sardinecourse {

class DomainTiming;
class EvacuationView;

/** Whether a start may be sent into a data centre. */
enum class StartAdmission : std::uint8_t
{
  kOpen,
  /** The data centre is evacuated. */
  kClosed,
  /** The view is so old that the data centre may have been evacuated since. */
  kViewTooOld
};

/** Whether no start that is sent now can be carried out later than
 * DomainTiming::EvacuateTime() after an evacuation that the view lacks. Always
 * true when that time is not set. */
bool
IsCurrent(const EvacuationView& aView,
          const DomainTiming& aTiming,
          Instant aNow);

/** Decides whether a start that is sent now may go into the data centre. */
StartAdmission
AdmitStart(const DataCentreName& aDataCentre,
           const EvacuationView& aView,
           const DomainTiming& aTiming,
           Instant aNow);

}
