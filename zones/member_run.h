#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/member_phase.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** Bookkeeping of one member of a run; its unit alone changes it. */
struct MemberRun
{
  WorkerName worker;
  MemberPhase phase = MemberPhase::kGone;
  /** Life of the worker to which the start was sent. */
  std::int64_t incarnation = 0;
  /** On the worker's clock: the start is refused from then on. */
  std::int64_t startUntilMs = 0;
  /** When the answer to the start arrived; looks sent earlier may miss it. */
  Instant known{};
  std::optional<Instant> stopSent;
  std::optional<Instant> stopAnswered;
  std::int32_t percent = 0;

  auto operator<=>(const MemberRun&) const = default;
};

}
