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
 * Checks the invariants of gang scheduling on the workers' event history, once
 * no job changes state any more. Returns a description of each violation.
 *  - No accelerator is allocated to two tasks at once.
 *  - No member is released unless all members of its attempt were started held,
 *    and none had ended by the first release.
 *  - When a member ends other than by finishing, the others end within aBound.
 *  - At most one attempt of a job runs to its end; exactly one when the job is
 *    recorded as finished.
 *  - Tasks that still run at the end form complete gangs of jobs recorded as
 *    running.
 */
std::vector<std::string>
CheckGangs(const std::vector<TaskEvent>& aEvents,
           const JobStates& aStates,
           Milliseconds aBound);

}
