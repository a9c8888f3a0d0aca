#pragma once

#include "contracts/store_tables.h"
#include "contracts/table_check.h"
#include "contracts/table_write.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class TableTransaction;

// Tables and row keys of a scheduling domain's persistent state.

/** Admitted jobs by key; a cancelled job has a second row (CancelRowKey()). */
inline const std::string kJobTable = "jobs";
/** Progress of each job, by the job's key. */
inline const std::string kProgressTable = "progress";
/** Further rows of progress that does not fit into one row, by
 * ProgressRowKey(). They are written together with the first row, whose
 * revision is the condition for every change. */
inline const std::string kProgressRowTable = "progress_rows";
/** Final state of each ended job, by the job's key, for as long as callers may
 * ask for it. The job's rows in the other two tables are deleted by the
 * transaction that writes this row, so that loading the domain takes time in
 * proportion to the live jobs. */
inline const std::string kEndedTable = "ended";
/** Keys of jobs that were cancelled while the store had no such job. A row here
 * keeps an admission that is under way, or that the store performs late, from
 * taking effect. */
inline const std::string kTombstoneTable = "tombstones";
/** The term of the domain, and the number of pending jobs. The row that names
 * its holder is in kLeaseTable. */
inline const std::string kDomainTable = "domain";
inline const std::string kOwnerRow = "owner";
inline const std::string kTermRow = "term";
inline const std::string kPendingRow = "pending";
/** Memory that the accepted jobs take; absent until room is scarce for the
 * first time. Each admission depends on its revision, so it is never deleted: a
 * late admission that requires its absence would take effect after all. */
inline const std::string kUsageRow = "usage";
/** How long the open jobs keep the workers busy; absent until that is long for
 * the first time. Like the row above it is never deleted. */
inline const std::string kBacklogRow = "backlog";
/** Measured paces of workers, for the next holder. It may be absent or old:
 * paces of other incarnations match none. */
inline const std::string kPaceRow = "pace";
/** By when every lease on each unreachable worker has expired. The next holder
 * relies on it, so a worker is withdrawn from this row before it is granted a
 * lease again. */
inline const std::string kLeaseBoundsRow = "lease_bounds";
/** Leaving workers to which the holder grants short leases only, with the time
 * by which longer ones have expired. Like the row above, it binds the holder:
 * a worker is withdrawn before it is granted a longer lease. */
inline const std::string kLeavingLeasesRow = "leaving_leases";

/** Key of the row in kJobTable that marks aJob as cancelled. */
std::string
CancelRowKey(const JobKey& aJob);
/** The job that a row of kJobTable marks as cancelled; empty for other rows. */
std::optional<JobKey>
CancelledJob(const std::string& aRowKey);

/** Key in kProgressRowTable of a row of aJob's progress; aIndex counts from 1,
 * since the first row is in kProgressTable. */
std::string
ProgressRowKey(const JobKey& aJob, std::int32_t aIndex);

/** Adds a check to a transaction: the row must have aRevision, 0 when it must
 * not exist. aKey must not be empty, or the check is left out. */
void
AddCheck(std::vector<TableCheck>& aChecks,
         const std::string& aTable,
         const std::string& aKey,
         std::int64_t aRevision);
/** Adds a write to a transaction; no value deletes the row. aKey must not be
 * empty, or the write is left out. */
void
AddWrite(std::vector<TableWrite>& aWrites,
         const std::string& aTable,
         const std::string& aKey,
         std::optional<std::string> aValue);
/** Builds a transaction; without a write, the result is an empty one. */
TableTransaction
MakeTransaction(std::vector<TableCheck> aChecks,
                std::vector<TableWrite> aWrites);

/** End of the key range that contains only the row with aKey. */
std::string
AfterKey(const std::string& aKey);

}
