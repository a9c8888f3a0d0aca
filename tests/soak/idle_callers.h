#pragma once

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

class LoadBalancer;
class SiteDeployment;

/** Callers that open connections ahead of their requests, leave some idle, send
 * a part of a request on others, and go away without a word. */
class IdleCallers
{
public:
  IdleCallers(const SiteDeployment& aSite,
              const LoadBalancer& aBalancer,
              int aCallers,
              unsigned aSeed);
  ~IdleCallers();
  IdleCallers(const IdleCallers&) = delete;
  IdleCallers& operator=(const IdleCallers&) = delete;

  void Stop();

private:
  void Run(unsigned aSeed);

  const SiteDeployment* site;
  const LoadBalancer* balancer;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> threads;
};

}
