#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <optional>
#include <set>

namespace sardinecourse {

/** The evacuated data centres, as this host last read them from the store. */
class EvacuationView
{
public:
  /** Data centres whose workers may be sent nothing. */
  const std::set<DataCentreName>& Closed() const { return this->closed; }
  bool IsClosed(const DataCentreName& aDataCentre) const
  {
    return this->closed.contains(aDataCentre);
  }
  /** When the call to the store that last confirmed the view was sent; empty
   * before the first confirmation. */
  const std::optional<Instant>& ConfirmedAt() const
  {
    return this->confirmedAt;
  }

  auto operator<=>(const EvacuationView&) const = default;

private:
  friend class EvacuationViewBuilder;

  std::set<DataCentreName> closed;
  std::optional<Instant> confirmedAt;
};

}
