#pragma once

#include "contracts/job_state.h"
#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Answer to a JobCall, before encoding. */
struct JobReply
{
  enum class Kind : std::uint8_t
  {
    /** The job is stored and will run. */
    kAccepted,
    /** The reply contains the state of a job. */
    kState,
    /** The job was cancelled and does not run again. */
    kCancelled,
    /** The reply contains the number of jobs in the queue that have not
     * started. */
    kPending,
    kNoQueue,
    kNoJob,
    kUnknownKey,
    kMalformed,
    /** The call had no effect and never will; the caller may retry after
     * retryAfter. */
    kNotRun,
    /** Unknown whether the call took effect. */
    kNotKnown
  };

  Kind kind = Kind::kNotRun;
  JobState state = JobState::kAdmitted;
  std::int64_t pending = 0;
  Milliseconds retryAfter{ 0 };
  /** Why the call was rejected, for the caller and the log. */
  std::string cause;

  auto operator<=>(const JobReply&) const = default;
};

}
