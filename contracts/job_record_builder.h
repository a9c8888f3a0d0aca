#pragma once

#include "contracts/job_record.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a JobRecord. Build() returns nullopt and sets aReason if the data
 * centre is missing. */
class JobRecordBuilder
{
public:
  JobRecordBuilder& Request(Job aRequest);
  JobRecordBuilder& State(JobState aState);
  JobRecordBuilder& DataCentre(DataCentreName aDataCentre);
  JobRecordBuilder& Attempts(std::int64_t aAttempts);
  JobRecordBuilder& Saved(Milliseconds aSaved);
  JobRecordBuilder& Detail(std::string aDetail);
  std::optional<JobRecord> Build(Reason& aReason) const;

private:
  JobRecord value;
};

}
