#pragma once

#include "core/names.h"

#include <compare>

namespace sardinecourse {

/** Identifies a job: its team, and the key that the team chose for it. */
struct JobIdentity
{
  TeamName team;
  JobKey key;

  auto operator<=>(const JobIdentity&) const = default;
};

}
