#include "zones/evacuation/evacuation_view_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

EvacuationViewBuilder&
EvacuationViewBuilder::Closed(std::set<DataCentreName> aClosed)
{
  this->value.closed = std::move(aClosed);
  return *this;
}

EvacuationViewBuilder&
EvacuationViewBuilder::ConfirmedAt(Instant aConfirmedAt)
{
  this->value.confirmedAt = aConfirmedAt;
  return *this;
}

std::optional<EvacuationView>
EvacuationViewBuilder::Build(Reason& aReason) const
{
  if (this->value.closed.contains(DataCentreName())) {
    aReason =
      Reason(Step::kPlacement, "", "an evacuated data centre must have a name");
    return std::nullopt;
  }
  return this->value;
}

}
