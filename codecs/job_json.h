#pragma once

#include "contracts/job_state.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinecourse {

class Job;
class JobRecord;
class Ownership;
class Reason;

/** Name of a state in stored records and in answers, for example "admitted". */
std::string_view
JobStateName(JobState aState);
/** Empty when no state has that name. */
std::optional<JobState>
ParseJobState(std::string_view aName);

/** Decodes a job as its team submits it; empty, with the reason, when the text
 * is not a valid job or has unknown keys. */
std::optional<Job>
DecodeJob(const std::string& aText, Reason& aReason);
std::string
EncodeJob(const Job& aJob);

/** Encodes a job's record, as stored in its row and sent in answers. */
std::string
EncodeJobRecord(const JobRecord& aRecord);
/** Empty, with the reason, when the text is not a valid record. */
std::optional<JobRecord>
DecodeJobRecord(const std::string& aText, Reason& aReason);

/** Encodes job records as a JSON array. */
std::string
EncodeJobRecords(const std::vector<JobRecord>& aRecords);
/** Empty, with the reason, when the text is not an array or any of its records
 * is invalid. */
std::optional<std::vector<JobRecord>>
DecodeJobRecords(const std::string& aText, Reason& aReason);

/** Encodes the row that records which host holds a data centre's racks. */
std::string
EncodeOwnership(const Ownership& aOwnership);
/** Empty, with the reason, when the text is not a valid ownership. */
std::optional<Ownership>
DecodeOwnership(const std::string& aText, Reason& aReason);

}
