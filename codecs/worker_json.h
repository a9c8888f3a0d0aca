#pragma once

#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
class Task;
class TaskList;

/** JSON of one task, as it is started and as it is listed. */
std::string
EncodeTask(const Task& aTask);
std::optional<Task>
DecodeTask(const std::string& aText, Reason& aReason);

/** JSON of what a worker tells of its tasks. */
std::string
EncodeTaskList(const TaskList& aList);
std::optional<TaskList>
DecodeTaskList(const std::string& aText, Reason& aReason);

/** JSON of a renewal of all task leases of a worker: the length of the lease,
 * and the version of its task list that the holder has seen. */
std::string
EncodeTaskLeaseRenewal(Milliseconds aLease, std::int64_t aVersion);

/** Progress that a checkpoint saved, from its answer. */
std::optional<Milliseconds>
DecodeSavedProgress(const std::string& aText, Reason& aReason);

}
