#pragma once

#include <atomic>
#include <cstddef>
#include <random>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

class SiteDeployment;

/** Asks every host once a second whether it is ready, and selects hosts for new
 * connections as the platform does: a host leaves after two misses. */
class LoadBalancer
{
public:
  explicit LoadBalancer(const SiteDeployment& aSite);
  ~LoadBalancer();
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  void Stop();
  bool IsInRotation(std::size_t aHost) const { return this->misses[aHost] < 2; }
  /** A host in rotation; any host when fewer than half of them are. */
  std::size_t Select(std::mt19937& aRandom) const;

private:
  void Run();

  const SiteDeployment* site;
  std::atomic<bool> isStopping = false;
  std::vector<std::atomic<int>> misses;
  std::thread thread;
};

}
