#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/accelerator_range.h"
#include "machines/task_state.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** One member of a gang as its worker reports it. The label (team, key,
 * attempt, member, members) is all the data that a new holder needs to take it
 * over. */
class Task
{
public:
  const TaskName& Name() const { return this->name; }
  const TeamName& Team() const { return this->team; }
  const JobKey& Key() const { return this->key; }
  /** Term of the holder that started it. */
  std::int64_t Term() const { return this->term; }
  /** Distinguishes the attempts of one term. */
  std::int64_t Sequence() const { return this->sequence; }
  /** Index in its gang, from 0. */
  std::int32_t Member() const { return this->member; }
  /** Number of members of its gang. */
  std::int32_t Members() const { return this->members; }
  const AcceleratorRange& Range() const { return this->range; }
  std::int32_t Cores() const { return this->cores; }
  /** In MB. */
  std::int32_t Memory() const { return this->memory; }
  bool Urgent() const { return this->urgent; }
  /** Run time left at its start; zero when unknown. */
  Milliseconds RunTime() const { return this->runTime; }
  /** Time since its release. */
  Milliseconds Ran() const { return this->ran; }
  /** Progress saved by its last checkpoint. */
  Milliseconds Saved() const { return this->saved; }
  /** Time for which its worker keeps it without a renewal. */
  Milliseconds Lease() const { return this->lease; }
  TaskState State() const { return this->state; }

  auto operator<=>(const Task&) const = default;

private:
  friend class TaskBuilder;

  TaskName name;
  TeamName team;
  JobKey key;
  std::int64_t term = 0;
  std::int64_t sequence = 0;
  std::int32_t member = 0;
  std::int32_t members = 1;
  AcceleratorRange range;
  std::int32_t cores = 1;
  std::int32_t memory = 1024;
  bool urgent = false;
  Milliseconds runTime{ 0 };
  Milliseconds ran{ 0 };
  Milliseconds saved{ 0 };
  Milliseconds lease{ 60000 };
  TaskState state = TaskState::kHeld;
};

}
