#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse::harness {

/** One call of a concurrent run, as its caller recorded it. */
struct Operation
{
  std::int32_t client = 0;
  /** Type of the call, for example "submit" or "adopt". */
  std::string kind;
  /** What the call is about, for example a job's key. */
  std::string subject;
  std::string input;
  Instant called;
  /** Empty while the call has not returned; it may still take effect. */
  std::optional<Instant> returned;
  /** Result by name, for example "done", "not-run" or "not-known". */
  std::string outcome;
  std::string output;

  auto operator<=>(const Operation&) const = default;
};

}
