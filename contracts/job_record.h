#pragma once

#include "contracts/job.h"
#include "contracts/job_state.h"
#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A job with its admission and outcome, as the table keeps it. */
class JobRecord
{
public:
  /** The job as its team submitted it. */
  const Job& Request() const { return this->request; }
  JobState State() const { return this->state; }
  /** Where it was admitted to. */
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Times that its gang was started. */
  std::int64_t Attempts() const { return this->attempts; }
  /** Progress that survives a restart. */
  Milliseconds Saved() const { return this->saved; }
  /** Why it failed; empty otherwise. */
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
