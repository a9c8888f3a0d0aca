#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Why a run is stopped or given up. */
enum class StopCause : std::uint8_t
{
  /** The run is not being stopped. */
  kNone,
  /** Its job is final: cancelled, failed or finished. */
  kJobOver,
  /** Its unit is done. */
  kUnitDone,
  /** A member of the run ended without completing the unit. */
  kMemberEnded,
  /** Its resources are needed for a more urgent unit. */
  kPreempted,
  /** A member's worker leaves long before the run can end. */
  kWorkerLeaving,
  /** The run reports no progress. */
  kStalled,
  /** The lease of a member's worker has expired. */
  kLeaseExpired,
  /** The report of a member's worker does not list the run. */
  kNotListed,
  kStartRefused,
  kStartUnanswered,
  /** No tracked unit accounts for the run: an earlier holder started it, or its
   * job was deleted. */
  kOrphan
};

/** The cause as it is written to the event log. */
constexpr std::string_view
StopCauseName(StopCause aCause)
{
  switch (aCause) {
    case StopCause::kNone:
      return "none";
    case StopCause::kJobOver:
      return "job_over";
    case StopCause::kUnitDone:
      return "unit_done";
    case StopCause::kMemberEnded:
      return "member_ended";
    case StopCause::kPreempted:
      return "preempted";
    case StopCause::kWorkerLeaving:
      return "worker_leaving";
    case StopCause::kStalled:
      return "stalled";
    case StopCause::kLeaseExpired:
      return "lapsed";
    case StopCause::kNotListed:
      return "not_listed";
    case StopCause::kStartRefused:
      return "start_refused";
    case StopCause::kStartUnanswered:
      return "start_unanswered";
    case StopCause::kOrphan:
      return "stray";
  }
  return "none";
}

}
