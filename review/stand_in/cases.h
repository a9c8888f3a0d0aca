#pragma once

#include "review/stand_in/scenario.h"

namespace review {

/** A lasting step whose tasks fail soon after each start, beside a stream of
 * small urgent jobs. */
Verdict
FailingLastingJob(Record& aRecord, bool aIsTrouble);

/** A lasting task whose run ends as done. */
Verdict
EndedLastingTask(Record& aRecord, bool aIsTrouble);

/** A client that leaves a slow hand-in and cancels the job. */
Verdict
CancelAfterLeaving(Record& aRecord, bool aIsTrouble);

/** Minions that refuse starts while jobs wait, and calls for the number of
 * waiting jobs. */
Verdict
RefusedStarts(Record& aRecord, bool aIsTrouble);

/** Over 500 runs that end on one minion while the store is down. */
Verdict
UnlistedEnds(Record& aRecord, bool aIsTrouble);

}
