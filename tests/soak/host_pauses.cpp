#include "tests/soak/host_pauses.h"

#include <algorithm>

namespace sardinecourse::harness {

HostPauses::HostPauses(std::size_t aHosts)
  : hosts(aHosts)
{
}

void
HostPauses::BeginPause(std::size_t aHost)
{
  const std::lock_guard lock(this->mutex);
  this->hosts.at(aHost).pauses.push_back({ Clock::now(), Instant::max() });
}

void
HostPauses::EndPause(std::size_t aHost)
{
  const std::lock_guard lock(this->mutex);
  End(this->hosts.at(aHost).pauses);
}

void
HostPauses::BeginStop(std::size_t aHost)
{
  const std::lock_guard lock(this->mutex);
  this->hosts.at(aHost).stops.push_back({ Clock::now(), Instant::max() });
}

void
HostPauses::EndStop(std::size_t aHost)
{
  const std::lock_guard lock(this->mutex);
  End(this->hosts.at(aHost).stops);
}

bool
HostPauses::IsPaused(std::size_t aHost) const
{
  const std::lock_guard lock(this->mutex);
  const std::vector<Span>& pauses = this->hosts.at(aHost).pauses;
  return !pauses.empty() && pauses.back().end == Instant::max();
}

Milliseconds
HostPauses::PausedTime(std::size_t aHost, Instant aSince) const
{
  const Instant now = Clock::now();
  Clock::duration paused{ 0 };
  const std::lock_guard lock(this->mutex);
  for (const Span& pause : this->hosts.at(aHost).pauses) {
    const Instant begin = std::max(pause.begin, aSince);
    const Instant end = std::min(pause.end, now);
    paused += std::max(end - begin, Clock::duration(0));
  }
  return std::chrono::duration_cast<Milliseconds>(paused);
}

bool
HostPauses::WasStopping(std::size_t aHost, Instant aSince) const
{
  const std::lock_guard lock(this->mutex);
  const std::vector<Span>& stops = this->hosts.at(aHost).stops;
  return std::any_of(stops.begin(), stops.end(), [aSince](const Span& aStop) {
    return aStop.end >= aSince;
  });
}

void
HostPauses::End(std::vector<Span>& aSpans)
{
  if (!aSpans.empty()) {
    aSpans.back().end = std::min(aSpans.back().end, Clock::now());
  }
}

}
