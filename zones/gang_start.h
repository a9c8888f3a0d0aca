#pragma once

#include "contracts/job.h"
#include "zones/gang_placement.h"

#include <compare>
#include <string>
#include <utility>

namespace sardinecourse {

/** A decision to start a job now. */
class GangStart
{
public:
  GangStart(Job aRequest, GangPlacement aPlacement, std::string aText)
    : request(std::move(aRequest))
    , placement(std::move(aPlacement))
    , text(std::move(aText))
  {
  }

  const Job& Request() const { return this->request; }
  const GangPlacement& Placement() const { return this->placement; }
  /** Why this placement was chosen, for the log line. */
  const std::string& Text() const { return this->text; }

  auto operator<=>(const GangStart&) const = default;

private:
  Job request;
  GangPlacement placement;
  std::string text;
};

}
