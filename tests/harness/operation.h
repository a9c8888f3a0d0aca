#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse::harness {

/** One call of a concurrent run, as its caller saw it. */
struct Operation
{
  std::int32_t client = 0;
  /** What was asked, for example "submit" or "adopt". */
  std::string kind;
  /** What it was asked of, for example a job's key. */
  std::string subject;
  std::string input;
  Instant called;
  /** Empty while the call has not returned; it may still take effect. */
  std::optional<Instant> returned;
  /** For example "done", "not-run" or "not-known". */
  std::string outcome;
  std::string output;

  auto operator<=>(const Operation&) const = default;
};

}
