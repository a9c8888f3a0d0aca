#pragma once

#include "contracts/table_transaction.h"
#include "core/names.h"

#include <cstdint>
#include <string>

namespace sardinecourse {

class JobRecord;

/** Keys of a job's rows in the table. Names are percent-encoded, so that a name
 * with a slash cannot address the row of another job. */
std::string
JobRowKey(const TeamName& aTeam, const JobKey& aKey);
std::string
JobRowPrefix(const TeamName& aTeam);
std::string
QueueRowKey(const DataCentreName& aDataCentre,
            const TeamName& aTeam,
            const JobKey& aKey);
std::string
QueueRowPrefix(const DataCentreName& aDataCentre);
/** Key of a row that every admission and cancellation writes, so that a holder
 * detects a change of its queue with one small read. */
std::string
QueueMarkKey(const DataCentreName& aDataCentre);

/**
 * Builds the transaction that writes a job's record if its row still has
 * revision aRevision. It also writes the job's row in the queue of its data
 * centre, or deletes that row when the record is final. With aUpdatesMark it
 * also writes the queue's mark, so that the holder reads the queue again.
 */
TableTransaction
RecordTransaction(const JobRecord& aRecord,
                  std::int64_t aRevision,
                  bool aUpdatesMark);

}
