#pragma once

#include "core/instant.h"
#include "tests/soak/soak_job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** A job that a caller of a rehearsal hands in. */
struct RehearsalJob
{
  std::string key;
  std::string path;
  std::string apiKey;
  /** Body of the submit. */
  std::string body;
  /** Properties for the stand-in. */
  std::string properties;
  std::int32_t steps = 1;
  /** Times since the start of the traffic. */
  Milliseconds arrival{ 0 };
  std::optional<Milliseconds> cancelAt;

  SoakJob::Outcome outcome = SoakJob::Outcome::kUnknown;
  Instant acceptedAt{};
  bool isCancelSent = false;
  /** Last state that a host showed. */
  std::string state;
  int showsAfterEnd = 0;

  bool operator==(const RehearsalJob&) const = default;
};

}
