#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A disturbance of the simulated fleet or its load for a limited time. */
struct ModelTrouble
{
  enum class Kind : std::uint8_t
  {
    /** The arrival rate of one kind of job, or of all, is multiplied. */
    kBurst,
    /** The run times on some workers are multiplied. */
    kSlow,
    /** Some workers crash and restart at once. */
    kRestart,
    /** Some workers leave for good, without a notice. */
    kLeave,
    /** Another host becomes the holder. */
    kTakeover
  };

  Kind kind = Kind::kBurst;
  /** Time since the start of the traffic. */
  Milliseconds start{ 0 };
  Milliseconds duration{ 0 };
  /** Name of the kind of job in a burst; empty for all kinds. */
  std::string jobs;
  /** Multiplies the arrival rate (kBurst) or the run times (kSlow). */
  double factor = 1.0;
  /** Probability with which each worker is affected (kSlow, kRestart, kLeave).
   */
  double share = 0.0;

  bool operator==(const ModelTrouble&) const = default;
};

}
