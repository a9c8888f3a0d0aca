#include "contracts/job_record_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

JobRecordBuilder&
JobRecordBuilder::Request(Job aRequest)
{
  this->value.request = std::move(aRequest);
  return *this;
}

JobRecordBuilder&
JobRecordBuilder::State(JobState aState)
{
  this->value.state = aState;
  return *this;
}

JobRecordBuilder&
JobRecordBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

JobRecordBuilder&
JobRecordBuilder::Attempts(std::int64_t aAttempts)
{
  this->value.attempts = aAttempts;
  return *this;
}

JobRecordBuilder&
JobRecordBuilder::Saved(Milliseconds aSaved)
{
  this->value.saved = aSaved;
  return *this;
}

JobRecordBuilder&
JobRecordBuilder::Detail(std::string aDetail)
{
  this->value.detail = std::move(aDetail);
  return *this;
}

std::optional<JobRecord>
JobRecordBuilder::Build(Reason& aReason) const
{
  if (this->value.dataCentre.Empty()) {
    aReason = Reason(Step::kDecode,
                     this->value.request.Key().Text(),
                     "a job record needs a data centre");
    return std::nullopt;
  }
  return this->value;
}

}
