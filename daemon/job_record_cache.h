#pragma once

#include "codecs/job_json.h"
#include "contracts/job_record_builder.h"
#include "core/instant.h"
#include "core/reason.h"
#include "daemon/job_rows.h"
#include "links/platform_table.h"
#include "zones/job_identity.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <set>
#include <string>

namespace sardinecourse {

/** A copy of a job's record with another state, number of attempts, saved
 * progress (milliseconds of run time) and detail. */
inline JobRecord
Update(const JobRecord& aRecord,
       JobState aState,
       std::int64_t aAttempts,
       Milliseconds aSaved,
       std::string aDetail)
{
  Reason reason;
  return JobRecordBuilder()
    .Request(aRecord.Request())
    .DataCentre(aRecord.DataCentre())
    .State(aState)
    .Attempts(aAttempts)
    .Saved(aSaved)
    .Detail(std::move(aDetail))
    .Build(reason)
    .value_or(aRecord);
}

/** The jobs of one data centre that have no final state, read from the table,
 * and the changed records that are still to be written to it. */
template<PlatformTable Table>
class JobRecordCache
{
public:
  struct Entry
  {
    JobRecord record;
    /** When this host first read the job from the queue. */
    Instant firstSeen;
  };
  using Entries = std::map<JobIdentity, Entry>;

  JobRecordCache(Table& aTable, const DataCentreName& aDataCentre)
    : table(&aTable)
    , queueMarkKey(QueueMarkKey(aDataCentre))
    , queuePrefix(QueueRowPrefix(aDataCentre))
    , logger(log4cplus::Logger::getInstance("jobs"))
  {
  }

  const Entries& Jobs() const { return this->entries; }
  const Entry* Find(const JobIdentity& aJob) const
  {
    const auto found = this->entries.find(aJob);
    return found == this->entries.end() ? nullptr : &found->second;
  }
  /** True once the queue was read; from then on a job that is not listed has a
   * final state. */
  bool IsScanned() const { return this->isScanned; }
  /** Counter that increases with every change. */
  std::int64_t Changes() const { return this->changes; }

  /** Drops all jobs and unwritten records; the next Refresh() reads all. */
  void Reset()
  {
    this->entries.clear();
    this->pending.clear();
    this->isScanned = false;
    this->queueMark = kUnknownMark;
  }

  /** Reads the queue if it has changed; false if the table did not answer. */
  boost::asio::awaitable<bool> Refresh()
  {
    Reason reason;
    const std::optional<TableRow> read =
      co_await this->table->Read(this->queueMarkKey, reason);
    if (!read) {
      co_return false;
    }
    if (read->Revision() == this->queueMark) {
      co_return true;
    }
    const std::optional<std::vector<TableRow>> rows =
      co_await this->table->Scan(this->queuePrefix, reason);
    if (!rows) {
      co_return false;
    }
    this->MergeRows(*rows);
    this->queueMark = read->Revision();
    this->isScanned = true;
    co_return true;
  }

  /** Updates the cached record at once and queues its write to the table. A job
   * with a final record stays listed until that record is stored. */
  void Record(const JobRecord& aRecord)
  {
    const JobIdentity job = IdentityOf(aRecord);
    const auto found = this->entries.find(job);
    if (found == this->entries.end()) {
      return;
    }
    found->second.record = aRecord;
    this->pending.insert_or_assign(job, aRecord);
    ++this->changes;
  }

  /** Writes one pending record. Returns false if there is none, the read
   * failed, or the write failed for another reason than a conflict. */
  boost::asio::awaitable<bool> WriteOne()
  {
    if (this->pending.empty()) {
      co_return false;
    }
    const JobRecord record = this->pending.begin()->second;
    const Job& request = record.Request();
    const std::string key = JobRowKey(request.Team(), request.Key());
    Reason reason;
    const std::optional<TableRow> row = co_await this->table->Read(key, reason);
    if (!row) {
      co_return false;
    }
    const auto stored = DecodeJobRecord(row->Value(), reason);
    // The team has cancelled the job in the meantime, or an earlier write of
    // this record took effect.
    if (!stored || IsFinal(stored->State())) {
      this->CompleteWrite(IdentityOf(record), true);
      co_return true;
    }
    const TableTransaction transaction =
      RecordTransaction(record, row->Revision(), false);
    const WriteOutcome outcome =
      co_await this->table->Commit(transaction, reason);
    if (outcome != WriteOutcome::kCommitted) {
      LOG4CPLUS_WARN(this->logger,
                     "record not written job=" << key << " "
                                               << reason.Message());
      co_return outcome == WriteOutcome::kConflict;
    }
    LOG4CPLUS_INFO(this->logger,
                   "recorded job=" << key
                                   << " state=" << JobStateName(record.State())
                                   << " attempts=" << record.Attempts());
    const auto latest = this->pending.find(IdentityOf(record));
    if (latest != this->pending.end() && latest->second == record) {
      this->CompleteWrite(IdentityOf(record), IsFinal(record.State()));
    }
    co_return true;
  }

private:
  static constexpr std::int64_t kUnknownMark = -1;

  static JobIdentity IdentityOf(const JobRecord& aRecord)
  {
    return { aRecord.Request().Team(), aRecord.Request().Key() };
  }

  void CompleteWrite(const JobIdentity& aJob, bool aIsFinal)
  {
    this->pending.erase(aJob);
    if (aIsFinal) {
      // A scan that is in progress may still list it.
      this->finalJobs.insert(aJob);
      this->entries.erase(aJob);
    }
    ++this->changes;
  }

  /** Adds new jobs and removes those that are no longer queued. Cached records
   * of the other jobs are newer than the rows and are kept. */
  void MergeRows(const std::vector<TableRow>& aRows)
  {
    std::set<JobIdentity> listed;
    for (const TableRow& row : aRows) {
      Reason reason;
      const auto record = DecodeJobRecord(row.Value(), reason);
      if (!record) {
        LOG4CPLUS_ERROR(this->logger,
                        "row=" << row.Key() << " " << reason.Message());
        continue;
      }
      const JobIdentity job = IdentityOf(*record);
      listed.insert(job);
      if (!this->finalJobs.contains(job)) {
        this->entries.try_emplace(job, Entry{ *record, Clock::now() });
      }
    }
    std::erase_if(this->entries, [&listed](const auto& aEntry) {
      return !listed.contains(aEntry.first);
    });
    ++this->changes;
  }

  Table* table;
  std::string queueMarkKey;
  std::string queuePrefix;
  std::int64_t queueMark = kUnknownMark;
  bool isScanned = false;
  Entries entries;
  std::map<JobIdentity, JobRecord> pending;
  std::set<JobIdentity> finalJobs;
  std::int64_t changes = 0;
  log4cplus::Logger logger;
};

}
