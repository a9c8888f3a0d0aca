#pragma once

#include "zones/evacuation/evacuation_view.h"

namespace sardinecourse {

class Reason;

/** Builds an EvacuationView; Build() returns nothing and sets the reason when a
 * data centre has no name. */
class EvacuationViewBuilder
{
public:
  EvacuationViewBuilder& Closed(std::set<DataCentreName> aClosed);
  EvacuationViewBuilder& ConfirmedAt(Instant aConfirmedAt);
  std::optional<EvacuationView> Build(Reason& aReason) const;

private:
  EvacuationView value;
};

}
