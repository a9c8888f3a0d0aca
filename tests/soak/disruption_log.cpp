#include "tests/soak/disruption_log.h"

#include <iostream>
#include <sstream>

namespace sardinecourse::harness {

void
DisruptionLog::Add(std::size_t aHost,
                   bool aIsPlanned,
                   const std::string& aName,
                   Instant aStart,
                   Milliseconds aDuration)
{
  const std::string host = aHost == Disruption::kAllHosts
                             ? " all hosts"
                             : " host" + std::to_string(aHost);
  this->Print(aName + host);
  const std::lock_guard lock(this->mutex);
  this->disruptions.push_back(
    Disruption{ aHost, aIsPlanned, aName, aStart, aStart + aDuration });
}

void
DisruptionLog::Print(const std::string& aEvent) const
{
  std::ostringstream line;
  line << this->Since(Clock::now()) << " ms: " << aEvent << '\n';
  std::cerr << line.str();
}

std::string
DisruptionLog::NamesIn(std::size_t aHost,
                       bool aIsPlanned,
                       Instant aFrom,
                       Instant aTo) const
{
  const std::lock_guard lock(this->mutex);
  std::string names;
  for (const Disruption& disruption : this->disruptions) {
    const bool isThere =
      disruption.host == aHost || disruption.host == Disruption::kAllHosts;
    if (isThere && disruption.isPlanned == aIsPlanned &&
        disruption.start <= aTo && disruption.end >= aFrom) {
      names += (names.empty() ? "" : ", ") + disruption.name + " at " +
               std::to_string(this->Since(disruption.start)) + " ms";
    }
  }
  return names;
}

std::int64_t
DisruptionLog::Since(Instant aTime) const
{
  return std::chrono::duration_cast<Milliseconds>(aTime - this->start).count();
}

}
