#pragma once

#include "contracts/request_outcome.h"
#include "core/instant.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace sardinecourse {

class MinionTable;

/** Counters and latency histograms of the request path, shared by all threads
 * of a host. */
class RequestMetrics
{
public:
  RequestMetrics();
  ~RequestMetrics();

  /** Counts one request with its time from arrival to the complete answer. */
  void Record(RequestOutcome aOutcome, Clock::duration aDuration);
  void RecordRetry();
  /** Counts a request refused early because its deadline could not be met. */
  void RecordShed();

  /** All metrics, with gauges for the minions of aTable, in Prometheus' text
   * format. */
  std::string Text(const MinionTable& aTable) const;

private:
  struct Histograms;

  std::unique_ptr<Histograms> histograms;
  std::atomic<std::uint64_t> retries = 0;
  std::atomic<std::uint64_t> shed = 0;
};

}
