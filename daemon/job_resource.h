#pragma once

#include "core/percent_encoding.h"
#include "daemon/job_answer.h"
#include "daemon/job_record_cache.h"
#include "daemon/job_rows.h"
#include "links/http_request.h"
#include "links/platform_table.h"
#include "zones/data_centre_choice.h"
#include "zones/fleet.h"

#include <string_view>

namespace sardinecourse {

/** Is notified when the queue of a data centre has changed. */
template<typename Listener>
concept QueueListener = requires(Listener& aListener,
                                 const DataCentreName& aDataCentre)
{
  {
    aListener.NotifyQueueChange(aDataCentre)
    } -> std::same_as<void>;
};

/** Admits, shows, lists and cancels jobs. Answers reflect the table's rows. All
 * methods run on the control thread. */
template<PlatformTable Table, QueueListener Listener>
class JobResource
{
public:
  JobResource(Table& aTable, Listener& aListener, DataCentreName aLocal)
    : table(&aTable)
    , listener(&aListener)
    , local(std::move(aLocal))
    , logger(log4cplus::Logger::getInstance("admission"))
  {
  }

  /** Admits a job (201), or returns the record of the same job if it was
   * admitted before (200). Errors: 400 unreadable, 409 the key belongs to a
   * different job, 422 the job can never run, 503 table unavailable. aFleet
   * holds the settings in force. */
  boost::asio::awaitable<HttpAnswer> Submit(std::string aBody,
                                            const Fleet& aFleet)
  {
    Reason reason;
    const std::optional<Job> job = DecodeJob(aBody, reason);
    if (!job) {
      co_return JobRefusal(kBadRequest, "not-run", reason);
    }
    const auto dataCentre = ChooseDataCentre(aFleet, *job, this->local, reason);
    if (!dataCentre) {
      this->Log("refused", *job, reason.Message());
      co_return JobRefusal(kNeverRuns, "not-run", reason);
    }
    const auto record =
      JobRecordBuilder().Request(*job).DataCentre(*dataCentre).Build(reason);
    HttpAnswer answer = co_await this->Admit(*record);
    co_return answer;
  }

  /** Returns a job's record; 404 if it does not exist, 503 if the table is
   * unavailable. */
  boost::asio::awaitable<HttpAnswer> Show(JobIdentity aJob)
  {
    Reason reason;
    std::int64_t revision = 0;
    const auto record = co_await this->Load(aJob, revision, reason);
    if (record) {
      co_return JobRecordAnswer(kOk, *record);
    }
    const bool isAbsent = reason.At() == Step::kAdmission;
    co_return JobRefusal(isAbsent ? kNotFound : kUnavailable,
                         isAbsent ? "not-run" : "not-known",
                         reason);
  }

  /** Returns the records of a team's jobs; 503 if the table is unavailable. */
  boost::asio::awaitable<HttpAnswer> List(TeamName aTeam)
  {
    Reason reason;
    const std::string prefix = JobRowPrefix(aTeam);
    const auto rows = co_await this->table->Scan(prefix, reason);
    if (!rows) {
      co_return JobRefusal(kUnavailable, "not-known", reason);
    }
    std::vector<JobRecord> records;
    for (const TableRow& row : *rows) {
      const auto record = DecodeJobRecord(row.Value(), reason);
      if (record) {
        records.push_back(*record);
      }
    }
    co_return JobAnswer(kOk, "done", EncodeJobRecords(records));
  }

  /** Cancels a job that has no final state. After a successful answer it will
   * not start any more; the holder stops its running tasks. Errors: 404 no such
   * job, 409 the job has ended otherwise, 503 table unavailable. */
  boost::asio::awaitable<HttpAnswer> Cancel(JobIdentity aJob)
  {
    Reason reason;
    for (int attempt = 0; attempt < kCancelAttempts; ++attempt) {
      std::int64_t revision = 0;
      const auto record = co_await this->Load(aJob, revision, reason);
      if (!record) {
        const bool isAbsent = reason.At() == Step::kAdmission;
        co_return JobRefusal(
          isAbsent ? kNotFound : kUnavailable, "not-run", reason);
      }
      if (IsFinal(record->State())) {
        const bool isCancelled = record->State() == JobState::kCancelled;
        co_return JobRecordAnswer(isCancelled ? kOk : kConflict, *record);
      }
      const JobRecord cancelled = Update(*record,
                                         JobState::kCancelled,
                                         record->Attempts(),
                                         record->Saved(),
                                         "cancelled by its team");
      const TableTransaction transaction =
        RecordTransaction(cancelled, revision, true);
      const WriteOutcome outcome =
        co_await this->table->Commit(transaction, reason);
      if (outcome == WriteOutcome::kCommitted) {
        this->listener->NotifyQueueChange(record->DataCentre());
        this->Log("cancelled", record->Request(), "requested by its team");
        co_return JobRecordAnswer(kOk, cancelled);
      }
      if (outcome != WriteOutcome::kConflict) {
        const bool isNotWritten = outcome == WriteOutcome::kNotWritten;
        co_return JobRefusal(
          kUnavailable, isNotWritten ? "not-run" : "not-known", reason);
      }
    }
    co_return JobRefusal(kUnavailable, "not-run", reason);
  }

private:
  static constexpr int kOk = 200;
  static constexpr int kCreated = 201;
  static constexpr int kBadRequest = 400;
  static constexpr int kNotFound = 404;
  static constexpr int kConflict = 409;
  static constexpr int kNeverRuns = 422;
  static constexpr int kUnavailable = 503;
  static constexpr int kCancelAttempts = 5;

  /** Reads a job's record and the revision of its row. If the result is empty,
   * the reason's step is kAdmission when the job certainly does not exist. */
  boost::asio::awaitable<std::optional<JobRecord>> Load(JobIdentity aJob,
                                                        std::int64_t& aRevision,
                                                        Reason& aReason)
  {
    const std::string key = JobRowKey(aJob.team, aJob.key);
    const auto row = co_await this->table->Read(key, aReason);
    if (!row) {
      co_return std::nullopt;
    }
    if (row->Revision() == 0) {
      aReason = Reason(Step::kAdmission, key, "no such job");
      co_return std::nullopt;
    }
    aRevision = row->Revision();
    co_return DecodeJobRecord(row->Value(), aReason);
  }

  boost::asio::awaitable<HttpAnswer> Admit(JobRecord aRecord)
  {
    Reason reason;
    const Job& job = aRecord.Request();
    const JobIdentity identity{ job.Team(), job.Key() };
    // The row must not exist yet, so a repeated admission changes nothing.
    const TableTransaction transaction = RecordTransaction(aRecord, 0, true);
    const WriteOutcome outcome =
      co_await this->table->Commit(transaction, reason);
    if (outcome == WriteOutcome::kCommitted) {
      this->listener->NotifyQueueChange(aRecord.DataCentre());
      this->Log("admitted", job, "data_centre=" + aRecord.DataCentre().Text());
      co_return JobRecordAnswer(kCreated, aRecord);
    }
    if (outcome != WriteOutcome::kConflict) {
      const bool isNotWritten = outcome == WriteOutcome::kNotWritten;
      this->Log("refused", job, reason.Message());
      co_return JobRefusal(
        kUnavailable, isNotWritten ? "not-run" : "not-known", reason);
    }
    std::int64_t revision = 0;
    const auto existing = co_await this->Load(identity, revision, reason);
    if (!existing) {
      co_return JobRefusal(kUnavailable, "not-known", reason);
    }
    if (existing->Request() == job) {
      co_return JobRecordAnswer(kOk, *existing);
    }
    reason = Reason(Step::kAdmission,
                    job.Key().Text(),
                    "the key already belongs to a different job");
    this->Log("refused", job, reason.Message());
    co_return JobRefusal(kConflict, "not-run", reason);
  }

  void Log(const char* aDecision, const Job& aJob, const std::string& aReason)
  {
    LOG4CPLUS_INFO(this->logger,
                   aDecision << " team=" << aJob.Team().Text()
                             << " job=" << aJob.Key().Text() << " reason=\""
                             << aReason << "\"");
  }

  Table* table;
  Listener* listener;
  DataCentreName local;
  log4cplus::Logger logger;
};

}
