#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/member_phase.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** State of one member of a run, as its holder tracks it. */
struct MemberRun
{
  WorkerName worker;
  MemberPhase phase = MemberPhase::kGone;
  /** Incarnation of the worker to which the start was sent. */
  std::int64_t incarnation = 0;
  /** Time on the worker's clock, in ms, from which the worker refuses the
   * start. */
  std::int64_t startDeadlineMs = 0;
  /** When the start was answered, timed out or was confirmed by a report; the
   * answer to a poll sent earlier may not list the run. */
  Instant startResolvedAt{};
  std::optional<Instant> stopSentAt;
  std::optional<Instant> stopAnsweredAt;
  std::int32_t percent = 0;

  auto operator<=>(const MemberRun&) const = default;
};

}
