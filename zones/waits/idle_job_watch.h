#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/waits/idle_job.h"
#include "zones/waits/wait_reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

class DomainState;
class TrackedJob;

/** Follows the jobs that have nothing running although a task of them is due,
 * and what holds each of them. */
class IdleJobWatch
{
public:
  /** Returns the jobs whose wait is to be logged now, a few at a time: those
   * that have waited for 3 s, and again when the reason is another one 3 s
   * later. Does nothing when called again within 500 ms. */
  std::vector<IdleJob> Observe(const DomainState& aDomain, Instant aNow);

  /** Number of jobs that wait, by reason, at the latest observation. */
  const std::map<WaitReason, std::int64_t>& Counts() const
  {
    return this->counts;
  }
  /** Longest of these waits. */
  Milliseconds Longest() const { return this->longest; }

private:
  struct Wait
  {
    Instant since;
    std::optional<WaitReason> logged;
    Instant loggedAt{};
  };

  std::map<JobKey, Wait> waits;
  std::map<WaitReason, std::int64_t> counts;
  Milliseconds longest{ 0 };
  Instant lastObserved{};
};

/** What holds the job; empty when something of it runs or is not due yet. */
std::optional<WaitCause>
FindWaitCause(const DomainState& aDomain, const TrackedJob& aJob, Instant aNow);

}
