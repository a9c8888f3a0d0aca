#include "machines/entry_host_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

EntryHostBuilder&
EntryHostBuilder::Name(HostName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

EntryHostBuilder&
EntryHostBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

EntryHostBuilder&
EntryHostBuilder::Callers(Endpoint aCallers)
{
  this->value.callers = std::move(aCallers);
  return *this;
}

EntryHostBuilder&
EntryHostBuilder::Peers(Endpoint aPeers)
{
  this->value.peers = std::move(aPeers);
  return *this;
}

std::optional<EntryHost>
EntryHostBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(
      Step::kSettings, this->value.name.Text(), "an entry host needs a name");
    return std::nullopt;
  }
  if (this->value.dataCentre.Empty()) {
    aReason = Reason(Step::kSettings,
                     this->value.name.Text(),
                     "an entry host needs a data centre");
    return std::nullopt;
  }
  return this->value;
}

}
