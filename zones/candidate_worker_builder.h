#pragma once

#include "zones/candidate_worker.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a CandidateWorker; Build() returns nothing and sets the reason when
 * the name is empty. */
class CandidateWorkerBuilder
{
public:
  CandidateWorkerBuilder& Name(WorkerName aName);
  CandidateWorkerBuilder& Rack(RackName aRack);
  CandidateWorkerBuilder& Free(Resources aFree);
  CandidateWorkerBuilder& Total(Resources aTotal);
  CandidateWorkerBuilder& MaxTasks(std::int32_t aMax);
  CandidateWorkerBuilder& Penalty(std::int32_t aPenalty);
  CandidateWorkerBuilder& Outlook(WorkerOutlook aOutlook);
  std::optional<CandidateWorker> Build(Reason& aReason) const;

private:
  CandidateWorker value;
};

}
