#pragma once

#include "machines/entry_host.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds an EntryHost. Build() returns nullopt and sets aReason when the name
 * or the data centre is missing. */
class EntryHostBuilder
{
public:
  EntryHostBuilder& Name(HostName aName);
  EntryHostBuilder& DataCentre(DataCentreName aDataCentre);
  EntryHostBuilder& Callers(Endpoint aCallers);
  EntryHostBuilder& Peers(Endpoint aPeers);
  std::optional<EntryHost> Build(Reason& aReason) const;

private:
  EntryHost value;
};

}
