#pragma once

#include "machines/entry_host.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a EntryHost; Build() is empty, with the reason, when a field is
 * missing or out of range.
 */
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
