#pragma once

#include "zones/candidate_worker.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a CandidateWorker; Build() is empty, with the reason, when it has no
 * name.
 */
class CandidateWorkerBuilder
{
public:
  CandidateWorkerBuilder& Name(WorkerName aName);
  CandidateWorkerBuilder& Rack(RackName aRack);
  CandidateWorkerBuilder& Free(Resources aFree);
  CandidateWorkerBuilder& Total(Resources aWhole);
  CandidateWorkerBuilder& MaxTasks(std::int32_t aMax);
  CandidateWorkerBuilder& Penalty(std::int32_t aPenalty);
  std::optional<CandidateWorker> Build(Reason& aReason) const;

private:
  CandidateWorker value;
};

}
