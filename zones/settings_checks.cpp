#include "zones/settings_checks.h"

#include "zones/fleet.h"
#include "zones/guarantee_packing.h"

#include <algorithm>

namespace sardinecourse {

bool
GuaranteesFitEverywhere(const Fleet& aFleet, Reason& aReason)
{
  return std::all_of(aFleet.DataCentres().begin(),
                     aFleet.DataCentres().end(),
                     [&aReason](const DataCentre& aDataCentre) {
                       return GuaranteesFit(aDataCentre, aReason);
                     });
}

}
