#pragma once

#include "contracts/job_plan.h"
#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

/** A call about a job or a queue, decoded and independent of the wire
 * format. */
struct JobCall
{
  enum class Kind : std::uint8_t
  {
    kSubmit,
    /** Returns the state of a job, or of the queue if the path names no job. */
    kShow,
    kCancel,
    kOther
  };

  Kind kind = Kind::kOther;
  /** Host named by the caller, without the port. */
  std::string authority;
  std::string path;
  /** Key of the caller's team; empty if the call has none. */
  std::string key;
  /** The job to run; empty if the body does not describe a valid job. */
  std::optional<JobPlan> plan;
  /** Why there is no plan. */
  std::string planRefusal;
  /** When the caller stops waiting for the answer. */
  Instant deadline{};

  auto operator<=>(const JobCall&) const = default;
};

}
