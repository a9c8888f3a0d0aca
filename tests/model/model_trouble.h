#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A change of what a modelled fleet goes through, for a time. */
struct ModelTrouble
{
  enum class Kind : std::uint8_t
  {
    /** More jobs of a kind. */
    kBurst,
    /** Some workers run slower. */
    kSlow,
    /** Some workers crash and come back at once. */
    kRestart
  };

  Kind kind = Kind::kBurst;
  Milliseconds at{ 0 };
  Milliseconds length{ 0 };
  /** Kind of job of a burst; all when empty. */
  std::string jobs;
  /** Of the arrivals, or of the run times. */
  double factor = 1.0;
  /** Part of the workers. */
  double share = 0.0;

  bool operator==(const ModelTrouble&) const = default;
};

}
