#pragma once

namespace sardinecourse {

class DataCentre;
class Job;
class Reason;

/** True when the job could run in the data centre if all its workers were idle:
 * its team exists, its quota suffices, and one rack can take every member.
 * Otherwise sets aReason (step kAdmission) to the limit that rules it out. */
bool
CanEverRun(const DataCentre& aDataCentre, const Job& aJob, Reason& aReason);

}
