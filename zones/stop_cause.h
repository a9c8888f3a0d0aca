#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Why a run is not wanted any more. */
enum class StopCause : std::uint8_t
{
  /** It is wanted. */
  kNone,
  /** Its job was cancelled or has failed. */
  kJobOver,
  /** Its unit is done. */
  kUnitDone,
  /** A member of its gang ended before the others. */
  kMemberEnded,
  /** Its room is needed for a more urgent unit. */
  kPreempted,
  /** It shows no progress. */
  kStalled,
  /** The lease of a member's worker has run out. */
  kLeaseExpired,
  /** A member's worker does not list it. */
  kNotListed,
  kStartRefused,
  kStartUnanswered,
  /** No unit knows of it: an earlier holder's, or of a job that is gone. */
  kOrphan
};

/** Its name in the log. */
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
