#include "machines/worker_listing_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

WorkerListingBuilder&
WorkerListingBuilder::Name(WorkerName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::Service(ServiceName aService)
{
  this->value.service = std::move(aService);
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::Address(Endpoint aAddress)
{
  this->value.address = std::move(aAddress);
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::Rack(RackName aRack)
{
  this->value.rack = std::move(aRack);
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::Labels(std::vector<std::string> aLabels)
{
  this->value.labels = std::move(aLabels);
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::Capacity(Resources aCapacity)
{
  this->value.capacity = aCapacity;
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::IsLeaving(bool aIsLeaving)
{
  this->value.isLeaving = aIsLeaving;
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::ColdLeft(Milliseconds aColdLeft)
{
  this->value.coldLeft = aColdLeft;
  return *this;
}

WorkerListingBuilder&
WorkerListingBuilder::TimeLeft(std::optional<Milliseconds> aTime)
{
  this->value.timeLeft = aTime;
  return *this;
}

std::optional<WorkerListing>
WorkerListingBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(Step::kDecode, "", "a worker needs a name");
    return std::nullopt;
  }
  if (this->value.service.Empty()) {
    aReason = Reason(
      Step::kDecode, this->value.name.Text(), "a worker needs a service");
    return std::nullopt;
  }
  if (this->value.address.Port() == 0) {
    aReason = Reason(
      Step::kDecode, this->value.name.Text(), "a worker needs an address");
    return std::nullopt;
  }
  return this->value;
}

}
