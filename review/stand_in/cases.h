#pragma once

#include "review/stand_in/scenario.h"

namespace review {

/** A wide batch job that can never be done, beside a stream of small urgent
 * ones. */
Verdict
PoisonJob(Record& aRecord, bool aIsTrouble);

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
