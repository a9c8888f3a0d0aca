#pragma once

#include "contracts/job.h"
#include "contracts/job_state.h"
#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A job with its admission and outcome, as stored in the table. */
class JobRecord
{
public:
  /** The job as its team submitted it. */
  const Job& Request() const { return this->request; }
  JobState State() const { return this->state; }
  /** Data centre that admitted the job. */
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Number of times that the gang was started. */
  std::int64_t Attempts() const { return this->attempts; }
  /** Run time covered by the newest checkpoint, which a restart resumes
   * from. */
  Milliseconds Saved() const { return this->saved; }
  /** Why the job failed; empty if it did not. */
  const std::string& Detail() const { return this->detail; }

  auto operator<=>(const JobRecord&) const = default;

private:
  friend class JobRecordBuilder;

  Job request;
  JobState state = JobState::kAdmitted;
  DataCentreName dataCentre;
  std::int64_t attempts = 0;
  Milliseconds saved{ 0 };
  std::string detail;
};

}
