#include "machines/minion_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

MinionBuilder&
MinionBuilder::Name(MinionName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

MinionBuilder&
MinionBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

MinionBuilder&
MinionBuilder::Service(ServiceName aService)
{
  this->value.service = std::move(aService);
  return *this;
}

MinionBuilder&
MinionBuilder::Address(Endpoint aAddress)
{
  this->value.address = std::move(aAddress);
  return *this;
}

MinionBuilder&
MinionBuilder::Slots(std::int32_t aSlots)
{
  this->value.slots = aSlots;
  return *this;
}

MinionBuilder&
MinionBuilder::Connections(std::int32_t aConnections)
{
  this->value.connections = aConnections;
  return *this;
}

std::optional<Minion>
MinionBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason =
      Reason(Step::kSettings, this->value.name.Text(), "a minion needs a name");
    return std::nullopt;
  }
  if (this->value.service.Empty()) {
    aReason = Reason(
      Step::kSettings, this->value.name.Text(), "a minion needs a service");
    return std::nullopt;
  }
  if (this->value.slots < 1) {
    aReason = Reason(Step::kSettings,
                     this->value.name.Text(),
                     "a minion needs at least one slot");
    return std::nullopt;
  }
  if (this->value.connections < 1) {
    aReason = Reason(Step::kSettings,
                     this->value.name.Text(),
                     "a minion needs at least one connection");
    return std::nullopt;
  }
  return this->value;
}

}
