#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse::harness {

class HostPauses;
class SiteDeployment;

/** Planned work drawn from a seed: hosts that are stopped and started in
 * series that overlap, reloads, changes of the configuration and, if wanted,
 * hosts that are suspended for a time, also while they stop. */
class PlannedWork
{
public:
  PlannedWork(SiteDeployment& aSite,
              HostPauses& aPauses,
              bool aHasPauses,
              unsigned aSeed);

  /** Goes on until aUntil; then waits until every host runs again. */
  void Run(Instant aUntil);
  /** Hosts that did not end within their grace time, or ended otherwise than by
   * a stop with exit code 0. */
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }
  std::int64_t Stops() const { return this->stops; }
  std::int64_t Pauses() const { return this->pauseCount; }

private:
  void Begin();
  void BeginStops();
  void BeginPause();
  void Pause(std::size_t aHost);
  void EndDuePauses(Instant aNow);
  /** Starts hosts that have ended; first kills those past their grace time. */
  void CheckStopping();
  void Restart(std::size_t aHost);
  void AddViolation(std::size_t aHost, const std::string& aViolation);

  SiteDeployment* site;
  HostPauses* pauses;
  bool hasPauses;
  std::mt19937 random;
  std::int64_t version = 1;
  std::int64_t stops = 0;
  std::int64_t pauseCount = 0;
  /** When each host was told to stop; empty for one that was not. */
  std::vector<std::optional<Instant>> stoppedAt;
  /** When each suspended host goes on; empty for one that runs. */
  std::vector<std::optional<Instant>> resumeAt;
  std::vector<std::string> violations;
};

}
