#pragma once

#include "contracts/service_catalog.h"
#include "core/instant.h"
#include "core/snapshot.h"

#include <atomic>
#include <memory>

namespace sardinecourse {

/**
 * The operators' configuration in force on this host, and the time at which it
 * was last confirmed to be the newest one. One thread publishes; serving
 * threads read.
 */
class CurrentCatalog
{
public:
  CurrentCatalog()
    : catalog(std::make_unique<const ServiceCatalog>())
  {
  }

  /** Returns the configuration in force; version 0 before the first one is
   * published. */
  Snapshot<ServiceCatalog>::Reader Read() const { return this->catalog.Read(); }
  void Publish(const ServiceCatalog& aCatalog)
  {
    this->catalog.Publish(std::make_unique<const ServiceCatalog>(aCatalog));
  }

  /** Records that the configuration was the newest one at aInstant. */
  void NoteConfirmed(Instant aInstant)
  {
    this->confirmedAt.store(aInstant.time_since_epoch().count(),
                            std::memory_order_release);
  }
  /** When the call to the store that gave the last confirmation was sent. */
  Instant ConfirmedAt() const
  {
    return Instant(
      Clock::duration(this->confirmedAt.load(std::memory_order_acquire)));
  }
  /** Time since the last confirmation. The clock also advances while the host
   * is suspended. */
  Milliseconds ConfirmationAge(Instant aNow) const
  {
    return std::chrono::duration_cast<Milliseconds>(aNow - this->ConfirmedAt());
  }

private:
  Snapshot<ServiceCatalog> catalog;
  std::atomic<Clock::rep> confirmedAt = 0;
};

}
