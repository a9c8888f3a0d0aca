#pragma once

#include "contracts/job_call.h"
#include "contracts/job_reply.h"
#include "contracts/run_outcome.h"
#include "core/instant.h"
#include "zones/waits/wait_reason.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinecourse {

/** Counters and latency histograms of one host of a scheduling domain.
 * Thread-safe for updates and reads. */
class DomainMetrics
{
public:
  /** Counted events other than callers' calls. */
  enum class Event : std::uint8_t
  {
    kTakeover,
    kDomainLost,
    kStart,
    kStartRefused,
    kStartUnanswered,
    kStop,
    kPreemption,
    kPollFailed,
    kStoreFailed,
    kRunDone,
    kRunFailed,
    kRunLost,
    /** A stored job that this version cannot load. */
    kJobNotLoaded,
    /** A placed start that was not sent because of an evacuation. */
    kStartWithheld,
    /** A worker whose pace came into another class. */
    kPaceChanged,
    /** A pair of kinds of work that was found to disturb each other, or not to
     * any more. */
    kDisturbanceChanged,
    /** A job that was refused because it could not be done in time. */
    kBacklogRefusal,
    /** A report after which the worker's lease may be longer than the granted
     * one. */
    kLongLease
  };

  /** Event as which the outcome of a run is counted. */
  static Event EventOf(RunOutcome aOutcome);

  DomainMetrics();
  ~DomainMetrics();

  /** Counts a caller's call and records the time until its answer. */
  void CountCall(JobCall::Kind aKind,
                 JobReply::Kind aOutcome,
                 Clock::duration aDuration);
  /** Records how long a unit waited for its placement. */
  void RecordPlacementWait(std::int32_t aPriority, Milliseconds aWait);
  /** Records runs that were given up after their worker was silent for a time.
   */
  void RecordGivenUp(std::int64_t aRuns, Milliseconds aSilent);
  /** Sets the number of evacuated data centres. */
  void SetClosedDataCentres(std::size_t aCount);
  /** Sets the number of jobs that wait with nothing running, by reason, and
   * the longest of their waits. */
  void SetIdleJobs(const std::map<WaitReason, std::int64_t>& aCounts,
                   Milliseconds aLongest);
  void Count(Event aEvent);
  std::uint64_t CountOf(Event aEvent) const;

  /** All counters and histograms in the Prometheus text format. */
  std::string Text() const;

private:
  struct Series;

  std::unique_ptr<Series> series;
};

}
