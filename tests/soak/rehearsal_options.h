#pragma once

#include "core/instant.h"

#include <string>

namespace sardinecourse::harness {

/** Size and length of a rehearsal. */
struct RehearsalOptions
{
  unsigned seed = 1;
  int hosts = 8;
  int workers = 48;
  /** Threads of callers. */
  int callers = 32;
  /** Callers that open connections ahead and leave them idle or in the middle
   * of a request. */
  int idleCallers = 0;
  Milliseconds traffic{ 34'000 };
  /** Time from the end of the traffic to the questions at the end. */
  Milliseconds finish{ 14'000 };
  /** What happens at the end of the traffic: kill (all hosts), power (all hosts
   * and workers) or none; when empty, the seed decides between kill and none.
   */
  std::string closing;
  /** What happens in the last fifth of the traffic: drain, evict, roll,
   * evict_kill, crash, cut or kill; when empty, the seed decides. */
  std::string late;
  /** Without unplanned disruptions. */
  bool isPlannedOnly = false;
  bool areLogsKept = false;

  bool operator==(const RehearsalOptions&) const = default;
};

}
