#pragma once

#include <cstdint>

namespace sardinecourse {

/** Where a task is on its worker. */
enum class TaskState : std::uint8_t
{
  /** Started, but throttled to nothing until its release. */
  kHeld,
  kRunning,
  /** Told to stop, but not gone yet. */
  kStopping,
  /** Ran to its end. */
  kFinished,
  /** Ended by itself with an error. */
  kFailed,
  /** Stopped by a command, or by its worker when its lease lapsed. */
  kStopped
};

/** True while the task may use its accelerators. */
constexpr bool
OccupiesAccelerators(TaskState aState)
{
  return aState == TaskState::kHeld || aState == TaskState::kRunning ||
         aState == TaskState::kStopping;
}

}
