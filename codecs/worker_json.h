#pragma once

#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
class Task;
class TaskList;

/** Encodes one task, in the command that starts it and in task lists. */
std::string
EncodeTask(const Task& aTask);
/** Empty, with the reason, when the text is not a valid task. */
std::optional<Task>
DecodeTask(const std::string& aText, Reason& aReason);

/** Encodes a worker's report of the tasks that changed. */
std::string
EncodeTaskList(const TaskList& aList);
/** Empty, with the reason, when the text or one of its tasks is invalid. */
std::optional<TaskList>
DecodeTaskList(const std::string& aText, Reason& aReason);

/** Encodes the renewal of all task leases of a worker: the length of the lease
 * in milliseconds, and the last version of its task list that the holder
 * received.
 */
std::string
EncodeTaskLeaseRenewal(Milliseconds aLease, std::int64_t aVersion);

/** Decodes the run time saved by a checkpoint from the worker's answer; empty,
 * with the reason, when the answer has no "saved_ms". */
std::optional<Milliseconds>
DecodeSavedProgress(const std::string& aText, Reason& aReason);

}
