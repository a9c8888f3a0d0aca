#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Runs that are given up because every lease of their worker has expired, as
 * recorded in the event log. */
struct GivenUpRuns
{
  WorkerName worker;
  std::int64_t runs = 0;
  /** Time since the worker's latest answer to this holder, or since the start
   * of the term when it never answered. */
  Milliseconds silent{ 0 };

  auto operator<=>(const GivenUpRuns&) const = default;
};

}
