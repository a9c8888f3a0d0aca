#pragma once

namespace sardinecourse {

class DataCentre;
class Job;
class Reason;

/** True when the job can run in the data centre at some time; otherwise the
 * reason says why it never can. */
bool
CanEverRun(const DataCentre& aDataCentre, const Job& aJob, Reason& aReason);

}
