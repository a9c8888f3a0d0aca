#pragma once

#include "contracts/service_catalog.h"
#include "core/instant.h"
#include "core/snapshot.h"

#include <atomic>
#include <memory>

namespace sardinecourse {

/**
 * The operators' configuration in force on this host, and how old the proof is
 * that no newer one exists. One thread publishes; serving threads read.
 */
class CurrentCatalog
{
public:
  CurrentCatalog()
    : catalog(std::make_unique<const ServiceCatalog>())
  {
  }

  /** Version 0 until the first configuration was read. */
  Snapshot<ServiceCatalog>::Reader Read() const { return this->catalog.Read(); }
  void Publish(const ServiceCatalog& aCatalog)
  {
    this->catalog.Publish(std::make_unique<const ServiceCatalog>(aCatalog));
  }

  /** The configuration was the newest one at aInstant. */
  void NoteConfirmed(Instant aInstant)
  {
    this->confirmedAt.store(aInstant.time_since_epoch().count(),
                            std::memory_order_release);
  }
  /** Age of the proof. The clock counts the time of a suspension. */
  Milliseconds ConfirmationAge(Instant aNow) const
  {
    const Instant at(
      Clock::duration(this->confirmedAt.load(std::memory_order_acquire)));
    return std::chrono::duration_cast<Milliseconds>(aNow - at);
  }

private:
  Snapshot<ServiceCatalog> catalog;
  std::atomic<Clock::rep> confirmedAt = 0;
};

}
