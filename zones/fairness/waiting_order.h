#pragma once

#include "core/instant.h"
#include "core/wall_time.h"
#include "zones/fairness/guarantee_use.h"
#include "zones/fairness/service_shares.h"

#include <cstdint>
#include <map>
#include <optional>

namespace sardinecourse {

class AdmittedJob;
class DomainState;
class TrackedJob;

/** Order of the waiting jobs of one priority while there is too little room: by
 * admission, except that a job goes back behind others by up to five times its
 * objective. Teams and callers that were served better than others go back, and
 * jobs whose callers have given up. */
class WaitingOrder
{
public:
  WaitingOrder(const DomainState& aDomain, Instant aNow);

  /** Whether the job is urgent and its team uses more than it is guaranteed. */
  bool IsBeyondGuarantee(const TrackedJob& aJob) const;
  /** Jobs with an earlier position are served first. */
  WallTime PositionOf(const TrackedJob& aJob) const;

private:
  /** Lowest shares among the teams and data centres with open jobs. */
  struct LowestShares
  {
    double team = 1.0;
    double dataCentre = 1.0;
  };

  double TeamShare(const AdmittedJob& aJob) const;
  double DataCentreShare(const AdmittedJob& aJob) const;

  Instant now;
  GuaranteeUse guarantees;
  ServiceShares shares;
  std::map<std::int32_t, LowestShares> lowest;
};

/** Records in the domain's history how an ended job was served. */
void
NoteServed(DomainState& aDomain, const TrackedJob& aJob, Instant aNow);

}
