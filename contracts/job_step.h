#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** A step of a job: tasks with the same requirements that may run at the same
 * time. */
class JobStep
{
public:
  /** Number of tasks in the step. */
  std::int32_t Count() const { return this->count; }
  /** Resources that each task uses while it runs. */
  const Resources& Need() const { return this->need; }
  /** Run time of a task as estimated by the caller; often far off. */
  Milliseconds Estimate() const { return this->estimate; }
  /** Indexes, from 0, of earlier steps that must be complete before this one
   * starts. */
  const std::vector<std::int32_t>& After() const { return this->after; }
  /** True if the tasks run only all together and end together. */
  bool IsGang() const { return this->isGang; }
  /** Number of units: a gang is one unit, every other task one of its own. */
  std::int32_t UnitCount() const { return this->isGang ? 1 : this->count; }
  /** Number of tasks in each unit. */
  std::int32_t TasksPerUnit() const { return this->isGang ? this->count : 1; }
  /** True if running on more than one rack slows the tasks down by
   * DomainTiming::RemoteSlowdown(). */
  bool PrefersOneRack() const { return this->prefersOneRack; }
  /** True if the tasks save checkpoints while they run. */
  bool IsCheckpointing() const { return this->isCheckpointing; }
  /** Label that the worker must have; empty for any worker. */
  const std::string& Label() const { return this->label; }
  /** Rack that stores the data; empty for any rack. On other racks the tasks
   * are slowed down by DomainTiming::RemoteSlowdown(). */
  const RackName& DataRack() const { return this->dataRack; }
  /** Max tasks of the step on one worker; 0 for no limit. */
  std::int32_t MaxTasksPerWorker() const { return this->maxTasksPerWorker; }
  /** True if the tasks run until the job is cancelled. */
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
