#pragma once

#include "core/names.h"

#include <compare>
#include <string>
#include <utility>

namespace sardinecourse {

/** A decision to leave a job in the queue. */
class JobWait
{
public:
  JobWait(TeamName aTeam, JobKey aKey, std::string aText)
    : team(std::move(aTeam))
    , key(std::move(aKey))
    , text(std::move(aText))
  {
  }

  const TeamName& Team() const { return this->team; }
  const JobKey& Key() const { return this->key; }
  /** What the job waits for. */
  const std::string& Text() const { return this->text; }

  auto operator<=>(const JobWait&) const = default;

private:
  TeamName team;
  JobKey key;
  std::string text;
};

}
