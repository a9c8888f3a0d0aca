#pragma once

#include "codecs/admitted_job_json.h"
#include "codecs/job_progress_json.h"
#include "core/reason.h"
#include "core/wall_time.h"
#include "scheduling/event_line.h"
#include "scheduling/platform_schema.h"
#include "scheduling/row_feed.h"
#include "scheduling/store_rows.h"
#include "scheduling/worker_poller.h"
#include "zones/domain_state.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Keeps a term's domain state up to date with the jobs and workers in the
 * store, and starts the polling of each listed worker. */
template<typename Term, PlatformSchema Schema>
class DomainFeeds
{
public:
  DomainFeeds(Term& aTerm, WorkerPoller<Term>& aPoller)
    : term(&aTerm)
    , poller(&aPoller)
    , workerFeed(aTerm.Rows(), Schema::WorkerTable(), "", "")
  {
  }

  /** Reads all jobs and workers once; false, with the reason, when a read
   * failed or the term has ended. */
  boost::asio::awaitable<bool> Load(Reason& aReason)
  {
    this->workerFeed.Restart();
    const std::optional<RowPage> workers =
      co_await this->workerFeed.Next(kFeedWait, aReason);
    if (!workers) {
      co_return false;
    }
    const bool isLoaded = co_await this->ReadJobs(aReason);
    if (!isLoaded) {
      co_return false;
    }
    // Polling starts here and not before the jobs are loaded: until then every
    // reported run would be taken for an orphan and be stopped.
    this->ApplyWorkers(*workers, true);
    co_return true;
  }

  /** Applies changes of the job table until the term ends. */
  boost::asio::awaitable<void> FollowJobs()
  {
    while (this->term->IsActive()) {
      Reason reason;
      std::string table = kJobTable;
      const auto page = co_await this->term->Rows().Changes(
        std::move(table), this->jobsRevision, kFeedWait, reason);
      if (!this->term->IsActive()) {
        co_return;
      }
      if (!page) {
        EventLine("feed_failed").Field("feed", "jobs").Field(reason).Emit();
        co_await this->term->PauseFor(kFeedRetryPause);
        continue;
      }
      if (page->IsHistoryLost()) {
        co_await this->ReloadJobs();
        continue;
      }
      this->ApplyJobChanges(page->Rows());
      this->jobsRevision = page->Revision();
      if (!page->Rows().empty()) {
        this->term->RequestPass();
      }
    }
  }

  /** Applies changes of the worker table until the term ends. */
  boost::asio::awaitable<void> FollowWorkers()
  {
    while (this->term->IsActive()) {
      Reason reason;
      const std::optional<RowPage> page =
        co_await this->workerFeed.Next(kFeedWait, reason);
      if (!this->term->IsActive()) {
        co_return;
      }
      if (!page) {
        EventLine("feed_failed").Field("feed", "workers").Field(reason).Emit();
        co_await this->term->PauseFor(kFeedRetryPause);
        continue;
      }
      if (page->IsHistoryLost()) {
        EventLine("store_history_lost").Field("use", "workers").Emit();
        continue;
      }
      this->ApplyWorkers(*page, this->workerFeed.IsFullRange());
      this->term->RequestPass();
    }
  }

private:
  /** Jobs that are older count as this old. */
  static constexpr Milliseconds kMaxJobAge{ 3'600'000 };

  /** Pause after a failed read of a feed. An outage lasts seconds, and the
   * store also counts the calls that it refuses. */
  static constexpr Milliseconds kFeedRetryPause{ 300 };
  /** Longest wait of the store for a change. */
  static constexpr Milliseconds kFeedWait{ 2000 };

  /** Reads all jobs, then their progress. A job that is admitted during the
   * reads arrives by the feed, which continues from the revision of the read of
   * jobs. */
  boost::asio::awaitable<bool> ReadJobs(Reason& aReason)
  {
    std::string jobTable = kJobTable;
    std::string progressTable = kProgressTable;
    const auto jobs =
      co_await this->term->Rows().Read(std::move(jobTable), "", "", aReason);
    if (!jobs || !this->term->IsActive()) {
      co_return false;
    }
    const auto progress = co_await this->term->Rows().Read(
      std::move(progressTable), "", "", aReason);
    if (!progress || !this->term->IsActive()) {
      co_return false;
    }
    std::string furtherTable = kProgressRowTable;
    const auto furtherRows = co_await this->term->Rows().Read(
      std::move(furtherTable), "", "", aReason);
    if (!furtherRows || !this->term->IsActive()) {
      co_return false;
    }
    this->ApplyJobs(jobs->Rows(), progress->Rows(), furtherRows->Rows());
    this->jobsRevision = jobs->Revision();
    co_return true;
  }

  void ApplyJobs(const std::vector<TableRow>& aJobs,
                 const std::vector<TableRow>& aProgress,
                 const std::vector<TableRow>& aFurtherRows)
  {
    std::map<std::string, const TableRow*> progress;
    for (const TableRow& row : aProgress) {
      progress[row.Key()] = &row;
    }
    std::map<std::string, const TableRow*> furtherRows;
    for (const TableRow& row : aFurtherRows) {
      furtherRows[row.Key()] = &row;
    }
    for (const TableRow& row : aJobs) {
      const auto found = progress.find(row.Key());
      // Both rows are written together and the progress is read last, so a job
      // without progress was archived between the reads.
      if (!CancelledJob(row.Key()) && found != progress.end()) {
        this->ApplyJob(row, found->second, furtherRows);
      }
    }
    // AddJob keeps the progress of a job that is already tracked, so a
    // cancellation is applied from its own row.
    for (const TableRow& row : aJobs) {
      if (const std::optional<JobKey> cancelled = CancelledJob(row.Key())) {
        this->term->Domain().CancelJob(*cancelled, Clock::now());
      }
    }
  }

  /** Without aProgress the job is new: its progress was written in the same
   * transaction and so has the revision of the job's own row. */
  void ApplyJob(const TableRow& aJob,
                const TableRow* aProgress,
                const std::map<std::string, const TableRow*>& aFurtherRows)
  {
    Reason reason;
    std::optional<AdmittedJob> job = DecodeAdmittedJob(aJob.Value(), reason);
    std::optional<JobProgress> progress;
    if (job && aProgress != nullptr) {
      std::vector<std::string> rows{ aProgress->Value() };
      const JobKey key(aJob.Key());
      for (auto row = aFurtherRows.find(ProgressRowKey(key, 1));
           row != aFurtherRows.end();
           row = aFurtherRows.find(
             ProgressRowKey(key, static_cast<std::int32_t>(rows.size())))) {
        rows.push_back(row->second->Value());
      }
      progress = DecodeProgressRows(rows, reason);
    }
    if (!job || (aProgress != nullptr && !progress)) {
      // The job keeps its stored state, which callers are shown.
      this->term->Metrics().Count(DomainMetrics::Event::kJobNotLoaded);
      EventLine("job_unreadable").Field("job", aJob.Key()).Field(reason).Emit();
      return;
    }
    const std::int64_t revision =
      aProgress == nullptr ? aJob.Revision() : aProgress->Revision();
    // The clocks of the hosts may differ, so they are not asked for the age of
    // a job that has just been admitted.
    const auto age = aProgress == nullptr
                       ? Milliseconds(0)
                       : std::clamp<Milliseconds>(WallNow() - job->Admitted(),
                                                  Milliseconds(0),
                                                  kMaxJobAge);
    this->term->Domain().AddJob(
      std::move(*job), progress, revision, Clock::now(), age);
  }

  void ApplyJobChanges(const std::vector<TableRow>& aRows)
  {
    for (const TableRow& row : aRows) {
      const std::optional<JobKey> cancelled = CancelledJob(row.Key());
      if (cancelled) {
        this->term->Domain().CancelJob(*cancelled, Clock::now());
        EventLine("job_cancelled")
          .Field("job", cancelled->Text())
          .Field("seen_in", "jobs")
          .Emit();
        continue;
      }
      this->ApplyJob(row, nullptr, {});
    }
  }

  /** Reads all rows again after the store has dropped its history. */
  boost::asio::awaitable<void> ReloadJobs()
  {
    EventLine("store_history_lost").Field("use", "jobs").Emit();
    Reason reason;
    const bool isLoaded = co_await this->ReadJobs(reason);
    if (!isLoaded) {
      EventLine("feed_failed").Field("feed", "jobs").Field(reason).Emit();
      co_await this->term->PauseFor(Term::kRetryPause);
      co_return;
    }
    this->term->RequestPass();
  }

  void ApplyWorkers(const RowPage& aPage, bool aIsFullRange)
  {
    std::set<WorkerName> listed;
    for (const TableRow& row : aPage.Rows()) {
      Reason reason;
      const auto worker = Schema::DecodeWorker(row, reason);
      if (!worker) {
        EventLine("worker_entry_refused").Field(reason).Emit();
        this->term->Domain().UnlistWorker(WorkerName(row.Key()));
        continue;
      }
      listed.insert(worker->Name());
      this->term->Domain().ListWorker(*worker, Clock::now());
      this->poller->StartPolling(worker->Name());
    }
    for (const std::string& key : aPage.RemovedKeys()) {
      this->term->Domain().UnlistWorker(WorkerName(key));
    }
    if (!aIsFullRange) {
      return;
    }
    for (const auto& [name, worker] : this->term->Domain().Workers()) {
      if (!listed.contains(name)) {
        this->term->Domain().UnlistWorker(name);
      }
    }
  }

  Term* term;
  WorkerPoller<Term>* poller;
  RowFeed<typename Term::StoreLink> workerFeed;
  std::int64_t jobsRevision = 0;
};

}
