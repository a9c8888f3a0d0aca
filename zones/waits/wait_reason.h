#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** What keeps a job that has nothing running from being started. */
enum class WaitReason : std::uint8_t
{
  /** Runs that may still be on a worker which does not answer. */
  kWorkerLease,
  /** Stops that were ordered and whose ends were not reported yet. */
  kStopping,
  /** A start that was not answered, so that it may still be carried out. */
  kStartUnanswered,
  /** A start whose progress is being stored, or that is on its way. */
  kStartOrdered,
  /** No starts before the evacuated data centres are confirmed. */
  kStartsWithheld,
  /** Accelerators that are kept free for urgent jobs. */
  kHeadroom,
  /** The rack that the job prefers. */
  kRack,
  /** Too few resources are free that are not reserved for urgent units. */
  kNoRoom
};

/** The reason as it is written to the event log and to the metrics. */
constexpr std::string_view
WaitReasonName(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::kWorkerLease:
      return "worker_lease";
    case WaitReason::kStopping:
      return "stopping";
    case WaitReason::kStartUnanswered:
      return "start_unanswered";
    case WaitReason::kStartOrdered:
      return "start_ordered";
    case WaitReason::kStartsWithheld:
      return "starts_withheld";
    case WaitReason::kHeadroom:
      return "headroom";
    case WaitReason::kRack:
      return "rack";
    case WaitReason::kNoRoom:
      return "no_room";
  }
  return "no_room";
}

}
