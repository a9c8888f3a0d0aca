#pragma once

#include <atomic>

namespace sardinecourse {

/** Whether the load balancer should send callers to this host. Thread-safe. */
class Readiness
{
public:
  bool Ready() const
  {
    return this->hasSettings.load(std::memory_order_relaxed) &&
           !this->isDraining.load(std::memory_order_relaxed);
  }
  bool HasSettings() const
  {
    return this->hasSettings.load(std::memory_order_acquire);
  }
  void MarkSettingsInForce() { this->hasSettings.store(true); }
  void StartDraining() { this->isDraining.store(true); }

private:
  std::atomic<bool> hasSettings = false;
  std::atomic<bool> isDraining = false;
};

}
