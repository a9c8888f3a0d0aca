#pragma once

#include "machines/minion.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Minion. Build() returns nullopt and sets aReason when the name or
 * the service is missing, or when there is no slot or no connection. */
class MinionBuilder
{
public:
  MinionBuilder& Name(MinionName aName);
  MinionBuilder& DataCentre(DataCentreName aDataCentre);
  MinionBuilder& Service(ServiceName aService);
  MinionBuilder& Address(Endpoint aAddress);
  MinionBuilder& Slots(std::int32_t aSlots);
  MinionBuilder& Connections(std::int32_t aConnections);
  std::optional<Minion> Build(Reason& aReason) const;

private:
  Minion value;
};

}
