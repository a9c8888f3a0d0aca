#include "zones/candidate_worker_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

CandidateWorkerBuilder&
CandidateWorkerBuilder::Name(WorkerName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

CandidateWorkerBuilder&
CandidateWorkerBuilder::Rack(RackName aRack)
{
  this->value.rack = std::move(aRack);
  return *this;
}

CandidateWorkerBuilder&
CandidateWorkerBuilder::Free(Resources aFree)
{
  this->value.free = aFree;
  return *this;
}

CandidateWorkerBuilder&
CandidateWorkerBuilder::Total(Resources aTotal)
{
  this->value.total = aTotal;
  return *this;
}

CandidateWorkerBuilder&
CandidateWorkerBuilder::MaxTasks(std::int32_t aMax)
{
  this->value.maxTasks = aMax;
  return *this;
}

CandidateWorkerBuilder&
CandidateWorkerBuilder::Penalty(std::int32_t aPenalty)
{
  this->value.penalty = aPenalty;
  return *this;
}

CandidateWorkerBuilder&
CandidateWorkerBuilder::Outlook(WorkerOutlook aOutlook)
{
  this->value.outlook = aOutlook;
  return *this;
}

std::optional<CandidateWorker>
CandidateWorkerBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(Step::kPlacement, "", "a worker needs a name");
    return std::nullopt;
  }
  return this->value;
}

}
