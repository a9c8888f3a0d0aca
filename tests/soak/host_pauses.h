#pragma once

#include "core/instant.h"

#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace sardinecourse::harness {

/** The times at which the hosts of a deployment were suspended, and were being
 * stopped. Thread-safe. */
class HostPauses
{
public:
  explicit HostPauses(std::size_t aHosts);

  void BeginPause(std::size_t aHost);
  void EndPause(std::size_t aHost);
  void BeginStop(std::size_t aHost);
  void EndStop(std::size_t aHost);

  bool IsPaused(std::size_t aHost) const;
  /** How long the host was suspended since an instant. */
  Milliseconds PausedTime(std::size_t aHost, Instant aSince) const;
  /** Whether the host was being stopped at any time since an instant. */
  bool WasStopping(std::size_t aHost, Instant aSince) const;

private:
  struct Span
  {
    Instant begin;
    Instant end;
  };
  struct Host
  {
    std::vector<Span> pauses;
    std::vector<Span> stops;
  };

  static void End(std::vector<Span>& aSpans);

  mutable std::mutex mutex;
  std::vector<Host> hosts;
};

}
