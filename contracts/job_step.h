#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** One step of a job: tasks of one shape that may run at the same time. */
class JobStep
{
public:
  /** Tasks of the step. */
  std::int32_t Count() const { return this->count; }
  /** What each task takes while it runs. */
  const Resources& Need() const { return this->need; }
  /** The caller's estimate of a task's run time; often far off. */
  Milliseconds Estimate() const { return this->estimate; }
  /** Earlier steps, from 0, whose tasks must all be done first. */
  const std::vector<std::int32_t>& After() const { return this->after; }
  /** The tasks work only while all of them run, and end together. */
  bool IsGang() const { return this->isGang; }
  /** The tasks are slower by the far factor on more than one rack. */
  bool PrefersOneRack() const { return this->prefersOneRack; }
  /** The tasks save their progress as they run. */
  bool IsCheckpointing() const { return this->isCheckpointing; }
  /** A label that the worker must have; empty for any worker. */
  const std::string& Label() const { return this->label; }
  /** Rack of the data; elsewhere the tasks are slower by the far factor.
   * Empty when any rack will do. */
  const RackName& DataRack() const { return this->dataRack; }
  /** Most tasks of the step on one worker; 0 for no limit. */
  std::int32_t MaxTasksPerWorker() const { return this->maxTasksPerWorker; }
  /** The tasks run until the job is cancelled. */
  bool IsEndless() const { return this->isEndless; }

  auto operator<=>(const JobStep&) const = default;

private:
  friend class JobStepBuilder;

  std::int32_t count = 1;
  Resources need;
  Milliseconds estimate = {};
  std::vector<std::int32_t> after;
  bool isGang = false;
  bool prefersOneRack = false;
  bool isCheckpointing = false;
  std::string label;
  RackName dataRack;
  std::int32_t maxTasksPerWorker = 0;
  bool isEndless = false;
};

}
