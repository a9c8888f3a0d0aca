#pragma once

#include "core/endpoint.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

class SiteDeployment;

/** Callers whose connections stall: opened ahead and not used, left in the
 * middle of a request, completed or read late, or ended without a look at the
 * answer. A request that was sent as a whole must be answered, or its
 * connection ended soon after its last byte. */
class StallingCallers
{
public:
  StallingCallers(SiteDeployment& aSite, int aCallers, unsigned aSeed);
  ~StallingCallers();
  StallingCallers(const StallingCallers&) = delete;
  StallingCallers& operator=(const StallingCallers&) = delete;

  /** Stops the callers and waits for their threads. */
  void Stop();
  /** Broken rules so far, a sentence each. */
  std::vector<std::string> Violations() const;
  std::int64_t Connections() const { return this->connections; }

private:
  void Run(unsigned aSeed);
  /** Completes a request after a while, and reads its answer after another. */
  void CallLate(const Endpoint& aHost, std::mt19937& aRandom);
  static void Leave(const Endpoint& aHost, std::mt19937& aRandom);

  SiteDeployment* site;
  std::atomic<bool> isStopping = false;
  std::atomic<std::int64_t> connections = 0;
  mutable std::mutex mutex;
  std::vector<std::string> violations;
  std::vector<std::thread> threads;
};

}
