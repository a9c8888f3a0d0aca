#pragma once

#include "tests/soak/disruption.h"

#include <mutex>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** What was done to the hosts of a rehearsal; may be used by any thread. */
class DisruptionLog
{
public:
  explicit DisruptionLog(Instant aStart)
    : start(aStart)
  {
  }

  /** Records and prints a disruption. */
  void Add(std::size_t aHost,
           bool aIsPlanned,
           const std::string& aName,
           Instant aStart,
           Milliseconds aDuration);
  /** Prints what is done to others than hosts. */
  void Print(const std::string& aEvent) const;

  /** Names of the host's planned disruptions that overlap the time; empty
   * without one. */
  std::string PlannedIn(std::size_t aHost, Instant aFrom, Instant aTo) const
  {
    return this->NamesIn(aHost, true, aFrom, aTo);
  }
  std::string UnplannedIn(std::size_t aHost, Instant aFrom, Instant aTo) const
  {
    return this->NamesIn(aHost, false, aFrom, aTo);
  }
  /** Milliseconds since the rehearsal's start. */
  std::int64_t Since(Instant aTime) const;

private:
  std::string NamesIn(std::size_t aHost,
                      bool aIsPlanned,
                      Instant aFrom,
                      Instant aTo) const;

  Instant start;
  mutable std::mutex mutex;
  std::vector<Disruption> disruptions;
};

}
