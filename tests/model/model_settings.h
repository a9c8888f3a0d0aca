#pragma once

#include "contracts/domain_policy.h"
#include "core/instant.h"
#include "machines/resources.h"
#include "tests/model/model_kind.h"
#include "tests/model/model_trouble.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** A fleet, its load, and the policies that are compared on it. */
struct ModelSettings
{
  std::int32_t workers = 1;
  std::int32_t workersPerRack = 1;
  /** Factors of the run time, one of which each worker has. */
  std::vector<double> speeds{ 1.0 };
  Resources room;
  /** Teams, of equal guarantees, that share the jobs. */
  std::int32_t teams = 1;
  /** Share of all accelerators that the teams are guaranteed together. */
  double guaranteed = 0.0;
  /** Jobs arrive for so long, and may end for so long after that. */
  Milliseconds traffic{ 1000 };
  Milliseconds finish{ 0 };
  /** Longest time until a stopped run is gone. */
  Milliseconds stopTime{ 0 };
  /** By when a guaranteed job has begun. */
  Milliseconds reclaimTime{ 3000 };
  /** Time that a resumed run takes to read its checkpoint. */
  Milliseconds restoreTime{ 0 };
  /** A checkpoint is written this often. */
  Milliseconds saveInterval{ 500 };
  /** Factor of the run time away from the data or over several racks. */
  double remoteSlowdown = 1.0;
  /** Credit taken off for a core-second of thrown-away work. */
  double wastePrice = 0.0;
  /** Weights of the whole credit and of the worst kind's. */
  double wholeWeight = 1.0;
  double worstKindWeight = 0.0;
  std::vector<ModelKind> kinds;
  std::vector<ModelTrouble> troubles;
  std::vector<std::pair<std::string, DomainPolicy>> policies;

  bool operator==(const ModelSettings&) const = default;
};

}
