#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"
#include "zones/waits/wait_reason.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** What a job waits for. */
struct WaitCause
{
  WaitReason reason = WaitReason::kNoRoom;
  /** The worker that is waited for; empty for other reasons. */
  WorkerName worker;
  /** When the wait for this reason ends at the latest; empty when no such time
   * is known. */
  std::optional<Instant> until;
  /** Number of tasks that have to be started together, and what each of them
   * needs; 0 tasks while runs have to end first. */
  std::int32_t tasks = 0;
  Resources need;

  auto operator<=>(const WaitCause&) const = default;
};

}
