#include "contracts/domain_host_settings_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Name(HostName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Callers(Endpoint aCallers)
{
  this->value.callers = std::move(aCallers);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Readiness(Endpoint aReadiness)
{
  this->value.readiness = std::move(aReadiness);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Metrics(Endpoint aMetrics)
{
  this->value.metrics = std::move(aMetrics);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Store(Endpoint aStore)
{
  this->value.store = std::move(aStore);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Threads(std::int32_t aThreads)
{
  this->value.threads = aThreads;
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::ShareOfCore(double aShareOfCore)
{
  this->value.shareOfCore = aShareOfCore;
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::GraceTime(Milliseconds aGraceTime)
{
  this->value.graceTime = aGraceTime;
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::LogLevel(std::string aLogLevel)
{
  this->value.logLevel = std::move(aLogLevel);
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Policy(DomainPolicy aPolicy)
{
  this->value.policy = aPolicy;
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Limits(CallerLimits aLimits)
{
  this->value.limits = aLimits;
  return *this;
}

DomainHostSettingsBuilder&
DomainHostSettingsBuilder::Timing(DomainTiming aTiming)
{
  this->value.timing = aTiming;
  return *this;
}

std::optional<DomainHostSettings>
DomainHostSettingsBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(Step::kSettings, "", "a host needs a name");
    return std::nullopt;
  }
  if (this->value.callers.Port() == 0 || this->value.readiness.Port() == 0) {
    aReason = Reason(
      Step::kSettings, "", "a host needs addresses for callers and readiness");
    return std::nullopt;
  }
  if (this->value.store.Port() == 0) {
    aReason =
      Reason(Step::kSettings, "", "a host needs the address of the store");
    return std::nullopt;
  }
  if (this->value.graceTime <= Milliseconds(0)) {
    aReason = Reason(Step::kSettings, "", "a host needs a grace time");
    return std::nullopt;
  }
  return this->value;
}

}
