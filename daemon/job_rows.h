#pragma once

#include "contracts/table_transaction.h"
#include "core/names.h"

#include <cstdint>
#include <string>

namespace sardinecourse {

class JobRecord;

/** Keys of a job's rows in the table. Names are percent-encoded, so that a
 * slash in one cannot reach another's row. */
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
/** A row that every admission and cancellation writes, so that a holder sees
 * with one small read that its queue has changed. */
std::string
QueueMarkKey(const DataCentreName& aDataCentre);

/**
 * Writes a job's record, if its row still has that revision. The row in the
 * queue of its data centre goes with the record, and is deleted when the record
 * is final. With aIsNews the holder is told.
 */
TableTransaction
RecordTransaction(const JobRecord& aRecord,
                  std::int64_t aRevision,
                  bool aIsNews);

}
