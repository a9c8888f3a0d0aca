#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** What a caller is told of its request. */
enum class RequestOutcome : std::uint8_t
{
  /** It ran, and its whole answer is returned. */
  kDone,
  /** It certainly did not run, and never will. */
  kNotRun,
  /** It may have run, or may yet. */
  kNotKnown
};

/** "done", "not-run" or "not-known", as answers and metrics carry it. */
constexpr std::string_view
RequestOutcomeName(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::kDone:
      return "done";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kNotKnown:
      return "not-known";
  }
  return "not-known";
}

}
