#pragma once

#include "core/names.h"

#include <compare>

namespace sardinecourse {

/** A team and the key that it gave a job. */
struct JobIdentity
{
  TeamName team;
  JobKey key;

  auto operator<=>(const JobIdentity&) const = default;
};

}
