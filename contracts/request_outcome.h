#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Outcome of a request as reported to the caller. */
enum class RequestOutcome : std::uint8_t
{
  /** The request ran and its complete answer is returned. */
  kDone,
  /** The request did not run and never will. */
  kNotRun,
  /** The request may have run, or may still run. */
  kNotKnown
};

/** Returns "done", "not-run" or "not-known", as used in answers and metrics. */
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
