#pragma once

#include "core/instant.h"
#include "tests/harness/task_event.h"

#include <map>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** State of each job at the end of a run, by "team/key". */
using JobStates = std::map<std::string, std::string>;

/**
 * What must hold of every history of the workers, at rest. Each breach is given
 * in words.
 *  - No accelerator is given to two tasks at once.
 *  - No member is released unless all members of its attempt were started held,
 *    and none had ended by the first release.
 *  - When a member ends before its time, the others end within aBound.
 *  - At most one attempt of a job runs to its end; exactly one when the job is
 *    recorded as finished.
 *  - What still runs at the end is a whole gang of a job recorded as running.
 */
std::vector<std::string>
CheckGangs(const std::vector<TaskEvent>& aEvents,
           const JobStates& aStates,
           Milliseconds aBound);

}
