#pragma once

#include "contracts/domain_policy.h"
#include "contracts/domain_timing.h"
#include "core/endpoint.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** What one host of a scheduling domain learns from its settings file. */
class DomainHostSettings
{
public:
  const HostName& Name() const { return this->name; }
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Where callers connect. */
  const Endpoint& Callers() const { return this->callers; }
  /** Where the balancer asks whether this host takes callers. */
  const Endpoint& Readiness() const { return this->readiness; }
  /** Where metrics are served. */
  const Endpoint& Metrics() const { return this->metrics; }
  /** The platform's store. */
  const Endpoint& Store() const { return this->store; }
  /** Threads that serve callers. */
  std::int32_t Threads() const { return this->threads; }
  /** Part of a core that this host may use, from 0 to 1. */
  double ShareOfCore() const { return this->shareOfCore; }
  /** A log4cplus level. */
  const std::string& LogLevel() const { return this->logLevel; }
  const DomainTiming& Timing() const { return this->timing; }
  const DomainPolicy& Policy() const { return this->policy; }

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
  std::string logLevel = "INFO";
  DomainTiming timing;
  DomainPolicy policy;
};

}
