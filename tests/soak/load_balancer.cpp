#include "tests/soak/load_balancer.h"

#include "tests/harness/site_deployment.h"

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kProbeInterval{ 1000 };
constexpr Milliseconds kProbeTimeout{ 100 };
constexpr Milliseconds kPollInterval{ 20 };

}

LoadBalancer::LoadBalancer(const SiteDeployment& aSite)
  : site(&aSite)
  , misses(aSite.Hosts())
  , thread([this] { this->Run(); })
{
}

LoadBalancer::~LoadBalancer()
{
  this->Stop();
}

void
LoadBalancer::Stop()
{
  this->isStopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

std::size_t
LoadBalancer::Select(std::mt19937& aRandom) const
{
  std::vector<std::size_t> hosts;
  for (std::size_t host = 0; host < this->misses.size(); ++host) {
    if (this->IsInRotation(host)) {
      hosts.push_back(host);
    }
  }
  if (2 * hosts.size() < this->misses.size()) {
    return aRandom() % this->misses.size();
  }
  return hosts[aRandom() % hosts.size()];
}

void
LoadBalancer::Run()
{
  while (!this->isStopping) {
    const Instant next = Clock::now() + kProbeInterval;
    for (std::size_t host = 0; host < this->misses.size(); ++host) {
      if (this->site->IsReady(host, kProbeTimeout)) {
        this->misses[host] = 0;
      } else {
        ++this->misses[host];
      }
    }
    while (Clock::now() < next && !this->isStopping) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
}

}
