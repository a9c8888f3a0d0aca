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

/** Is told when the queue of a data centre has changed. */
template<typename Listener>
concept QueueListener = requires(Listener& aListener,
                                 const DataCentreName& aDataCentre)
{
  {
    aListener.NotifyQueueChange(aDataCentre)
    } -> std::same_as<void>;
};

/** Admits, shows, lists and cancels jobs. Its answers are what the table says;
 * it runs on the control thread. */
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

  /** Admits a job; aFleet are the settings in force. */
  boost::asio::awaitable<HttpAnswer> Submit(std::string aBody,
                                            const Fleet& aFleet)
  {
    Reason reason;
    const std::optional<Job> job = DecodeJob(aBody, reason);
    if (!job) {
      co_return JobRefusal(kBadRequest, "not-run", reason);
    }
    const auto where = ChooseDataCentre(aFleet, *job, this->local, reason);
    if (!where) {
      this->Log("refused", *job, reason.Message());
      co_return JobRefusal(kNeverRuns, "not-run", reason);
    }
    const auto record =
      JobRecordBuilder().Request(*job).DataCentre(*where).Build(reason);
    HttpAnswer answer = co_await this->Admit(*record);
    co_return answer;
  }

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

  /** Cancels a job that has no outcome yet. Once answered, it will not start
   * any more; what runs of it is stopped by the holder. */
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
        const bool isDone = record->State() == JobState::kCancelled;
        co_return JobRecordAnswer(isDone ? kOk : kConflict, *record);
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
        this->Log("cancelled", record->Request(), "asked for by its team");
        co_return JobRecordAnswer(kOk, cancelled);
      }
      if (outcome != WriteOutcome::kConflict) {
        const bool isKnown = outcome == WriteOutcome::kNotWritten;
        co_return JobRefusal(
          kUnavailable, isKnown ? "not-run" : "not-known", reason);
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

  /** Reads a job's record. When it is empty the reason's step is kAdmission if
   * there certainly is no such job. */
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
    // The row must not exist yet, which makes a repeated admission harmless.
    const TableTransaction transaction = RecordTransaction(aRecord, 0, true);
    const WriteOutcome outcome =
      co_await this->table->Commit(transaction, reason);
    if (outcome == WriteOutcome::kCommitted) {
      this->listener->NotifyQueueChange(aRecord.DataCentre());
      this->Log("admitted", job, "data_centre=" + aRecord.DataCentre().Text());
      co_return JobRecordAnswer(kCreated, aRecord);
    }
    if (outcome != WriteOutcome::kConflict) {
      const bool isKnown = outcome == WriteOutcome::kNotWritten;
      this->Log("refused", job, reason.Message());
      co_return JobRefusal(
        kUnavailable, isKnown ? "not-run" : "not-known", reason);
    }
    std::int64_t revision = 0;
    const auto present = co_await this->Load(identity, revision, reason);
    if (!present) {
      co_return JobRefusal(kUnavailable, "not-known", reason);
    }
    if (present->Request() == job) {
      co_return JobRecordAnswer(kOk, *present);
    }
    reason =
      Reason(Step::kAdmission, job.Key().Text(), "the key names another job");
    this->Log("refused", job, reason.Message());
    co_return JobRefusal(kConflict, "not-run", reason);
  }

  void Log(const char* aWhat, const Job& aJob, const std::string& aWhy)
  {
    LOG4CPLUS_INFO(this->logger,
                   aWhat << " team=" << aJob.Team().Text() << " job="
                         << aJob.Key().Text() << " reason=\"" << aWhy << "\"");
  }

  Table* table;
  Listener* listener;
  DataCentreName local;
  log4cplus::Logger logger;
};

}
