#pragma once

#include "core/names.h"

#include <compare>
#include <string>
#include <utility>

namespace sardinecourse {

/** A decision to checkpoint and stop a borrowed gang in favour of another job.
 * The victim returns to the queue. */
class Preemption
{
public:
  Preemption(TeamName aTeam,
             JobKey aKey,
             TeamName aClaimantTeam,
             JobKey aClaimant,
             std::string aText)
    : team(std::move(aTeam))
    , key(std::move(aKey))
    , claimantTeam(std::move(aClaimantTeam))
    , claimant(std::move(aClaimant))
    , text(std::move(aText))
  {
  }

  /** Team of the gang to stop. */
  const TeamName& Team() const { return this->team; }
  /** Key of the gang to stop. */
  const JobKey& Key() const { return this->key; }
  const TeamName& ClaimantTeam() const { return this->claimantTeam; }
  /** Key of the waiting job that needs the accelerators. */
  const JobKey& Claimant() const { return this->claimant; }
  /** Purpose, number of victims and cost, for the log line. */
  const std::string& Text() const { return this->text; }

  auto operator<=>(const Preemption&) const = default;

private:
  TeamName team;
  JobKey key;
  TeamName claimantTeam;
  JobKey claimant;
  std::string text;
};

}
