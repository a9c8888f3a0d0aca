#pragma once

#include <cstdint>

namespace sardinecourse {

/** State of a job. */
enum class JobState : std::uint8_t
{
  /** Stored durably and waiting for accelerators. */
  kAdmitted,
  /** All members of its gang were started. */
  kRunning,
  /** Its gang completed. */
  kFinished,
  /** It does not run, or not again; the record contains the reason. */
  kFailed,
  /** Cancelled by its team. */
  kCancelled
};

/** True if the state never changes again. */
constexpr bool
IsFinal(JobState aState)
{
  return aState == JobState::kFinished || aState == JobState::kFailed ||
         aState == JobState::kCancelled;
}

}
