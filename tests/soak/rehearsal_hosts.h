#pragma once

#include "core/instant.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse::harness {

class DisruptionLog;
class LoadBalancer;
class SiteDeployment;
class ViolationLog;

/** The processes of a rehearsal's hosts: stops them within their grace time,
 * kills them, and starts them again. */
class RehearsalHosts
{
public:
  RehearsalHosts(SiteDeployment& aSite,
                 const LoadBalancer& aBalancer,
                 DisruptionLog& aDisruptions,
                 ViolationLog& aViolations);

  std::size_t Count() const { return this->hosts.size(); }
  /** The holder by the store's row; host 0 without one. */
  std::size_t Holder() const;
  /** Stops a host that runs and takes requests. */
  void Stop(std::size_t aHost);
  /** Kills a host, and starts it again after aDownTime. */
  void Kill(std::size_t aHost, Milliseconds aDownTime);
  void Reload(std::size_t aHost);
  /** Kills hosts past their grace time, and starts those that are due. */
  void Update();

private:
  struct Host
  {
    std::optional<Instant> stoppedAt;
    std::optional<Instant> startAt;
  };

  bool IsUp(std::size_t aHost) const;
  void UpdateStopping(std::size_t aHost);

  SiteDeployment* site;
  const LoadBalancer* balancer;
  DisruptionLog* disruptions;
  ViolationLog* violations;
  std::vector<Host> hosts;
};

}
