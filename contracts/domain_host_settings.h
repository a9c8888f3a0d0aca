#pragma once

#include "contracts/domain_policy.h"
#include "contracts/domain_timing.h"
#include "core/endpoint.h"
#include "core/instant.h"
#include "core/names.h"
#include "machines/caller_limits.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Settings that one host of a scheduling domain reads from its settings
 * file. */
class DomainHostSettings
{
public:
  const HostName& Name() const { return this->name; }
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Address that callers connect to. */
  const Endpoint& Callers() const { return this->callers; }
  /** Address at which the load balancer checks whether this host accepts
   * callers. */
  const Endpoint& Readiness() const { return this->readiness; }
  /** Address at which metrics are served. */
  const Endpoint& Metrics() const { return this->metrics; }
  /** Address of the platform's store. */
  const Endpoint& Store() const { return this->store; }
  /** Number of threads that serve callers. */
  std::int32_t Threads() const { return this->threads; }
  /** Share of one core that this host may use, from 0 to 1. */
  double ShareOfCore() const { return this->shareOfCore; }
  /** Time from SIGTERM until the process is killed. */
  Milliseconds GraceTime() const { return this->graceTime; }
  /** Name of a log4cplus level. */
  const std::string& LogLevel() const { return this->logLevel; }
  const DomainTiming& Timing() const { return this->timing; }
  const DomainPolicy& Policy() const { return this->policy; }
  /** What callers can make this host hold. */
  const CallerLimits& Limits() const { return this->limits; }

  auto operator<=>(const DomainHostSettings&) const = default;

private:
  friend class DomainHostSettingsBuilder;

  HostName name;
  DataCentreName dataCentre;
  Endpoint callers;
  Endpoint readiness;
  Endpoint metrics;
  Endpoint store;
  std::int32_t threads = 1;
  double shareOfCore = 1.0;
  Milliseconds graceTime{ 6000 };
  std::string logLevel = "INFO";
  DomainTiming timing;
  DomainPolicy policy;
  CallerLimits limits;
};

}
