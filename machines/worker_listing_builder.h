#pragma once

#include "machines/worker_listing.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a WorkerListing. Build() returns nullopt and sets aReason when the
 * name, the service or the port of the address is missing. */
class WorkerListingBuilder
{
public:
  WorkerListingBuilder& Name(WorkerName aName);
  WorkerListingBuilder& Service(ServiceName aService);
  WorkerListingBuilder& Address(Endpoint aAddress);
  WorkerListingBuilder& DataCentre(DataCentreName aDataCentre);
  WorkerListingBuilder& Rack(RackName aRack);
  WorkerListingBuilder& Labels(std::vector<std::string> aLabels);
  WorkerListingBuilder& Capacity(Resources aCapacity);
  WorkerListingBuilder& IsLeaving(bool aIsLeaving);
  WorkerListingBuilder& ColdLeft(Milliseconds aColdLeft);
  WorkerListingBuilder& TimeLeft(std::optional<Milliseconds> aTime);
  std::optional<WorkerListing> Build(Reason& aReason) const;

private:
  WorkerListing value;
};

}
