#pragma once

#include "contracts/domain_host.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainHost; Build() is empty, with the reason, when a field is
 * missing. */
class DomainHostBuilder
{
public:
  DomainHostBuilder& Name(HostName aName);
  DomainHostBuilder& DataCentre(DataCentreName aDataCentre);
  DomainHostBuilder& Callers(Endpoint aCallers);
  DomainHostBuilder& Readiness(Endpoint aReadiness);
  DomainHostBuilder& Metrics(Endpoint aMetrics);
  DomainHostBuilder& Store(Endpoint aStore);
  DomainHostBuilder& Threads(std::int32_t aThreads);
  DomainHostBuilder& ShareOfCore(double aShareOfCore);
  DomainHostBuilder& LogLevel(std::string aLogLevel);
  DomainHostBuilder& Timing(DomainTiming aTiming);
  DomainHostBuilder& Policy(DomainPolicy aPolicy);
  std::optional<DomainHost> Build(Reason& aReason) const;

private:
  DomainHost value;
};

}
