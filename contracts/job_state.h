#pragma once

#include <cstdint>

namespace sardinecourse {

/** How far a job has come. */
enum class JobState : std::uint8_t
{
  /** Durable, and waiting for accelerators. */
  kAdmitted,
  /** Its gang was started whole. */
  kRunning,
  /** Its gang ran to its end. */
  kFinished,
  /** It will not run, or not again; the record says why. */
  kFailed,
  /** Its team cancelled it. */
  kCancelled
};

/** True when nothing more will happen to the job. */
constexpr bool
IsFinal(JobState aState)
{
  return aState == JobState::kFinished || aState == JobState::kFailed ||
         aState == JobState::kCancelled;
}

}
