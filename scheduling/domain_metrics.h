#pragma once

#include "contracts/job_call.h"
#include "contracts/job_reply.h"
#include "contracts/run_outcome.h"
#include "core/instant.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace sardinecourse {

/** Counters and latency histograms of a host of a scheduling domain, shared by
 * all its threads. */
class DomainMetrics
{
public:
  /** What is counted beside callers' calls. */
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
    kRunLost
  };

  /** What an end of a run counts as. */
  static Event EventOf(RunOutcome aEnd);

  DomainMetrics();
  ~DomainMetrics();

  /** Counts a caller's call with the time until its answer. */
  void Call(JobCall::Kind aKind,
            JobReply::Kind aOutcome,
            Clock::duration aDuration);
  /** Counts how long a unit waited for its workers. */
  void Placed(std::int32_t aPriority, Milliseconds aWaited);
  void Count(Event aEvent);
  std::uint64_t CountOf(Event aEvent) const;

  /** The figures in Prometheus' text format. */
  std::string Text() const;

private:
  struct Figures;

  std::unique_ptr<Figures> figures;
};

}
