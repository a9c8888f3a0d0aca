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

/** A job's record with another state, attempts, progress and detail. */
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

/** The admitted jobs of one data centre that have no outcome yet, read from the
 * table, and their records on the way back to it. */
template<PlatformTable Table>
class JobRecordCache
{
public:
  struct Entry
  {
    JobRecord record;
    Instant seen;
  };
  using Entries = std::map<JobIdentity, Entry>;

  JobRecordCache(Table& aTable, const DataCentreName& aDataCentre)
    : table(&aTable)
    , markKey(QueueMarkKey(aDataCentre))
    , prefix(QueueRowPrefix(aDataCentre))
    , logger(log4cplus::Logger::getInstance("jobs"))
  {
  }

  const Entries& Jobs() const { return this->entries; }
  const Entry* Find(const JobIdentity& aJob) const
  {
    const auto found = this->entries.find(aJob);
    return found == this->entries.end() ? nullptr : &found->second;
  }
  /** True once the queue was read, so that a job it does not name is one that
   * has an outcome. */
  bool IsScanned() const { return this->isScanned; }
  std::int64_t Changes() const { return this->changes; }

  void Reset()
  {
    this->entries.clear();
    this->pending.clear();
    this->isScanned = false;
    this->mark = kUnknownMark;
  }

  /** Reads the queue if it has changed; false when the table did not answer. */
  boost::asio::awaitable<bool> Refresh()
  {
    Reason reason;
    const std::optional<TableRow> read =
      co_await this->table->Read(this->markKey, reason);
    if (!read) {
      co_return false;
    }
    if (read->Revision() == this->mark) {
      co_return true;
    }
    const std::optional<std::vector<TableRow>> rows =
      co_await this->table->Scan(this->prefix, reason);
    if (!rows) {
      co_return false;
    }
    this->Take(*rows);
    this->mark = read->Revision();
    this->isScanned = true;
    co_return true;
  }

  /** Keeps the record here at once, and in the table as soon as it answers. A
   * job with a final record is no longer listed once that is durable. */
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

  /** Writes one pending record; false when there is none, or the table does not
   * answer. */
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
    // The team has cancelled it meanwhile, or an earlier attempt to write this
    // took effect.
    if (!stored || IsFinal(stored->State())) {
      this->Settle(IdentityOf(record), true);
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
      this->Settle(IdentityOf(record), IsFinal(record.State()));
    }
    co_return true;
  }

private:
  static constexpr std::int64_t kUnknownMark = -1;

  static JobIdentity IdentityOf(const JobRecord& aRecord)
  {
    return { aRecord.Request().Team(), aRecord.Request().Key() };
  }

  void Settle(const JobIdentity& aJob, bool aIsFinal)
  {
    this->pending.erase(aJob);
    if (aIsFinal) {
      // A scan that is under way may still name it.
      this->settled.insert(aJob);
      this->entries.erase(aJob);
    }
    ++this->changes;
  }

  /** Adds jobs that are new, and drops those that have an outcome. What is
   * known here of the others is newer than the rows. */
  void Take(const std::vector<TableRow>& aRows)
  {
    std::set<JobIdentity> named;
    for (const TableRow& row : aRows) {
      Reason reason;
      const auto record = DecodeJobRecord(row.Value(), reason);
      if (!record) {
        LOG4CPLUS_ERROR(this->logger,
                        "row=" << row.Key() << " " << reason.Message());
        continue;
      }
      const JobIdentity job = IdentityOf(*record);
      named.insert(job);
      if (!this->settled.contains(job)) {
        this->entries.try_emplace(job, Entry{ *record, Clock::now() });
      }
    }
    std::erase_if(this->entries, [&named](const auto& aEntry) {
      return !named.contains(aEntry.first);
    });
    ++this->changes;
  }

  Table* table;
  std::string markKey;
  std::string prefix;
  std::int64_t mark = kUnknownMark;
  bool isScanned = false;
  Entries entries;
  std::map<JobIdentity, JobRecord> pending;
  std::set<JobIdentity> settled;
  std::int64_t changes = 0;
  log4cplus::Logger logger;
};

}
