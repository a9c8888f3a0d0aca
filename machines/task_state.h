#pragma once

#include <cstdint>

namespace sardinecourse {

/** State of a task on its worker. */
enum class TaskState : std::uint8_t
{
  /** Started, but throttled to zero until its release. */
  kHeld,
  kRunning,
  /** Ordered to stop, but has not exited yet. */
  kStopping,
  /** Completed its work. */
  kFinished,
  /** Exited by itself with an error. */
  kFailed,
  /** Stopped by a command, or by its worker when its lease expired. */
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
