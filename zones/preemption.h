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
             TeamName aBeneficiaryTeam,
             JobKey aBeneficiary,
             std::string aText)
    : team(std::move(aTeam))
    , key(std::move(aKey))
    , beneficiaryTeam(std::move(aBeneficiaryTeam))
    , beneficiary(std::move(aBeneficiary))
    , text(std::move(aText))
  {
  }

  /** Team of the gang to stop. */
  const TeamName& Team() const { return this->team; }
  /** Key of the gang to stop. */
  const JobKey& Key() const { return this->key; }
  const TeamName& BeneficiaryTeam() const { return this->beneficiaryTeam; }
  /** Key of the waiting job that needs the accelerators. */
  const JobKey& Beneficiary() const { return this->beneficiary; }
  /** Purpose, number of victims and cost, for the log line. */
  const std::string& Text() const { return this->text; }

  auto operator<=>(const Preemption&) const = default;

private:
  TeamName team;
  JobKey key;
  TeamName beneficiaryTeam;
  JobKey beneficiary;
  std::string text;
};

}
