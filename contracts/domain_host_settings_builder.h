#pragma once

#include "contracts/domain_host_settings.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainHostSettings. Build() returns nullopt and sets aReason if the
 * name, the callers' or readiness address, or the store's address is
 * missing, or if the grace time is not positive. */
class DomainHostSettingsBuilder
{
public:
  DomainHostSettingsBuilder& Name(HostName aName);
  DomainHostSettingsBuilder& DataCentre(DataCentreName aDataCentre);
  DomainHostSettingsBuilder& Callers(Endpoint aCallers);
  DomainHostSettingsBuilder& Readiness(Endpoint aReadiness);
  DomainHostSettingsBuilder& Metrics(Endpoint aMetrics);
  DomainHostSettingsBuilder& Store(Endpoint aStore);
  DomainHostSettingsBuilder& Threads(std::int32_t aThreads);
  DomainHostSettingsBuilder& ShareOfCore(double aShareOfCore);
  DomainHostSettingsBuilder& GraceTime(Milliseconds aGraceTime);
  DomainHostSettingsBuilder& LogLevel(std::string aLogLevel);
  DomainHostSettingsBuilder& Timing(DomainTiming aTiming);
  DomainHostSettingsBuilder& Policy(DomainPolicy aPolicy);
  DomainHostSettingsBuilder& Limits(CallerLimits aLimits);
  std::optional<DomainHostSettings> Build(Reason& aReason) const;

private:
  DomainHostSettings value;
};

}
