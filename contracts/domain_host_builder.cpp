#include "contracts/domain_host_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

DomainHostBuilder&
DomainHostBuilder::Name(HostName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Callers(Endpoint aCallers)
{
  this->value.callers = std::move(aCallers);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Readiness(Endpoint aReadiness)
{
  this->value.readiness = std::move(aReadiness);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Metrics(Endpoint aMetrics)
{
  this->value.metrics = std::move(aMetrics);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Store(Endpoint aStore)
{
  this->value.store = std::move(aStore);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Threads(std::int32_t aThreads)
{
  this->value.threads = aThreads;
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::ShareOfCore(double aShareOfCore)
{
  this->value.shareOfCore = aShareOfCore;
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::LogLevel(std::string aLogLevel)
{
  this->value.logLevel = std::move(aLogLevel);
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Policy(DomainPolicy aPolicy)
{
  this->value.policy = aPolicy;
  return *this;
}

DomainHostBuilder&
DomainHostBuilder::Timing(DomainTiming aTiming)
{
  this->value.timing = aTiming;
  return *this;
}

std::optional<DomainHost>
DomainHostBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(Step::kSettings, "", "a host needs a name");
    return std::nullopt;
  }
  if (this->value.callers.Port() == 0 || this->value.readiness.Port() == 0) {
    aReason =
      Reason(Step::kSettings, "", "a host needs addresses to listen on");
    return std::nullopt;
  }
  if (this->value.store.Port() == 0) {
    aReason =
      Reason(Step::kSettings, "", "a host needs the address of the store");
    return std::nullopt;
  }
  return this->value;
}

}
