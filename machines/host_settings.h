#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "machines/caller_limits.h"
#include "machines/entry_host.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Settings of one daemon from its own file; all others come from the fleet's
 * settings. */
class HostSettings
{
public:
  /** This host: name, data centre and endpoints. */
  const EntryHost& Host() const { return this->host; }
  /** Endpoints of the platform's service, tried in order. */
  const std::vector<Endpoint>& Platform() const { return this->platform; }
  /** Endpoints of peers that supply the settings in force when the platform
   * does not answer. */
  const std::vector<Endpoint>& Peers() const { return this->peers; }
  /** Number of threads that serve requests. */
  std::int32_t Threads() const { return this->threads; }
  /** Time from SIGTERM until the process is killed. */
  Milliseconds GraceTime() const { return this->graceTime; }
  /** Name of a log4cplus level. */
  const std::string& LogLevel() const { return this->logLevel; }
  /** Destination of the log; standard error when empty. */
  const std::string& LogFile() const { return this->logFile; }
  /** What callers can make this host hold. */
  const CallerLimits& Limits() const { return this->limits; }

  auto operator<=>(const HostSettings&) const = default;

private:
  friend class HostSettingsBuilder;

  EntryHost host;
  std::vector<Endpoint> platform;
  std::vector<Endpoint> peers;
  std::int32_t threads = 2;
  Milliseconds graceTime{ 30'000 };
  std::string logLevel = "INFO";
  std::string logFile;
  CallerLimits limits;
};

}
