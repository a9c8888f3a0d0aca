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

/** Settings of a policy experiment: a fleet, its load, and the policies to
 * compare. */
struct ModelSettings
{
  std::int32_t workers = 1;
  std::int32_t workersPerRack = 1;
  /** Run-time factors; each worker draws one. Higher is slower. */
  std::vector<double> runTimeFactors{ 1.0 };
  Resources workerCapacity;
  /** Number of teams. They have equal guarantees; each job draws its team. */
  std::int32_t teams = 1;
  /** Share of all accelerators that the teams are guaranteed together. */
  double guaranteed = 0.0;
  /** How long jobs arrive, and how long they may still run after that. */
  Milliseconds traffic{ 1000 };
  Milliseconds finish{ 0 };
  /** Max lease of the runs on a worker. */
  Milliseconds workerLease{ 6000 };
  /** How long a draining worker goes on beyond the time that is announced. */
  Milliseconds linger{ 0 };
  /** Share of a core that a host has. */
  double coreShare = 1.0;
  /** Maximum time from a stop order to the end of the run. */
  Milliseconds stopTime{ 0 };
  /** Time within which a job must start if its team's guarantee covers it. */
  Milliseconds reclaimTime{ 3000 };
  /** Time to read the checkpoint when a run resumes. */
  Milliseconds restoreTime{ 0 };
  /** Interval between checkpoints of a run. */
  Milliseconds saveInterval{ 500 };
  /** Run-time factor of a unit away from its data rack, or across racks
   * although it prefers one. */
  double remoteSlowdown = 1.0;
  /** Credit deducted per core-second of lost work. */
  double lostWorkPrice = 0.0;
  /** Weights in the worth of the share of all credit that was earned, and of
   * the lowest such share of any kind. */
  double totalWeight = 1.0;
  double worstKindWeight = 0.0;
  std::vector<ModelKind> kinds;
  std::vector<ModelTrouble> troubles;
  std::vector<std::pair<std::string, DomainPolicy>> policies;

  bool operator==(const ModelSettings&) const = default;
};

}
