#pragma once

#include "codecs/admitted_job_json.h"
#include "codecs/job_progress_json.h"
#include "codecs/pending_json.h"
#include "contracts/admitted_job_builder.h"
#include "contracts/event_names.h"
#include "contracts/job_call.h"
#include "contracts/job_progress_builder.h"
#include "contracts/job_reply.h"
#include "core/reason.h"
#include "core/wall_time.h"
#include "links/row_store.h"
#include "scheduling/call_context.h"
#include "scheduling/current_catalog.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "scheduling/platform_schema.h"
#include "scheduling/store_health.h"
#include "scheduling/store_rows.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/**
 * Answers callers' calls about jobs from what the store says: a job is accepted
 * when it is stored, and refused only when it certainly is not and never will
 * be. It serves one thread.
 */
template<RowStore Store, PlatformSchema Schema>
class DomainJobApi
{
public:
  using CatalogSeen = std::function<void(const TableRow&)>;

  /** aCatalogSeen is told of a configuration that came with an answer of the
   * store; it is called on this desk's thread. */
  DomainJobApi(boost::asio::io_context& aContext,
               Store& aStore,
               const CurrentCatalog& aCurrentCatalog,
               DomainMetrics& aMetrics,
               Milliseconds aRevokeTime,
               CatalogSeen aCatalogSeen)
    : context(&aContext)
    , store(&aStore)
    , currentCatalog(&aCurrentCatalog)
    , metrics(&aMetrics)
    , maxConfirmationAge(aRevokeTime - kConfirmationMargin)
    , catalogSeen(std::move(aCatalogSeen))
  {
  }

  boost::asio::awaitable<JobReply> Answer(JobCall aCall)
  {
    JobReply reply;
    const Instant asked = Clock::now();
    const std::optional<CallContext> scope = this->ScopeOf(aCall, reply);
    if (!scope) {
      this->Log(aCall, nullptr, reply, asked);
      co_return reply;
    }
    switch (aCall.kind) {
      case JobCall::Kind::kSubmit:
        reply = co_await this->Submit(aCall, *scope);
        break;
      case JobCall::Kind::kCancel:
        reply = co_await this->Cancel(aCall, *scope);
        break;
      case JobCall::Kind::kShow:
        reply = co_await this->Show(*scope);
        break;
      case JobCall::Kind::kOther:
        reply = Refuse(JobReply::Kind::kMalformed, "no such method");
        break;
    }
    this->Log(aCall, &*scope, reply, asked);
    co_return reply;
  }

private:
  /** Part of the time to revoke a key that a call may take after its key was
   * looked up. */
  static constexpr Milliseconds kConfirmationMargin{ 1200 };
  /** With an older proof the store does not reach this host, so that nothing
   * can be stored: three waits of the loop that renews the proof. */
  static constexpr Milliseconds kStoreLostAge{ 2400 };
  /** Before the caller's deadline an answer is sent in any case. */
  static constexpr Milliseconds kAnswerMargin{ 100 };
  static constexpr Milliseconds kRetryPause{ 60 };
  /** An outage of the store or of a path to it lasts seconds, and another host
   * may serve meanwhile. */
  static constexpr Milliseconds kRetryAfter{ 1000 };

  static JobReply Refuse(JobReply::Kind aKind, std::string aCause)
  {
    JobReply reply;
    reply.kind = aKind;
    reply.cause = std::move(aCause);
    if (aKind == JobReply::Kind::kNotRun) {
      reply.retryAfter = kRetryAfter;
    }
    return reply;
  }

  /** What the configuration says of the call; empty, with the reply, when it
   * does not allow the call. */
  std::optional<CallContext> ScopeOf(const JobCall& aCall,
                                     JobReply& aReply) const
  {
    const Milliseconds age =
      this->currentCatalog->ConfirmationAge(Clock::now());
    const auto catalog = this->currentCatalog->Read();
    if (catalog->Version() == 0) {
      aReply = Refuse(JobReply::Kind::kNotRun, "no configuration yet");
      return std::nullopt;
    }
    if (age > std::min(this->maxConfirmationAge, kStoreLostAge)) {
      aReply = Refuse(JobReply::Kind::kNotRun, "the store is out of reach");
      return std::nullopt;
    }
    if (this->watch.IsUnresponsive(Clock::now())) {
      aReply = Refuse(JobReply::Kind::kNotRun, "the store does not answer");
      return std::nullopt;
    }
    return this->ScopeIn(*catalog, aCall, aReply);
  }

  boost::asio::awaitable<CommitAnswer> Commit(
    const TableTransaction& aTransaction,
    Reason& aReason)
  {
    const std::uint64_t call = this->watch.CallSent(Clock::now());
    CommitAnswer answer = co_await this->store->Commit(aTransaction, aReason);
    this->watch.CallCompleted(
      call, answer.Outcome() != WriteOutcome::kNotKnown, Clock::now());
    co_return answer;
  }

  boost::asio::awaitable<std::optional<RowPage>> Read(std::string aTable,
                                                      std::string aFrom,
                                                      std::string aTo,
                                                      Reason& aReason)
  {
    const std::uint64_t call = this->watch.CallSent(Clock::now());
    std::optional<RowPage> page = co_await this->store->Read(
      std::move(aTable), std::move(aFrom), std::move(aTo), aReason);
    // A refusal names the step of the read; a lost answer that of the call.
    const bool isAnswered =
      page.has_value() || aReason.At() == Step::kPlatformRead;
    this->watch.CallCompleted(call, isAnswered, Clock::now());
    co_return page;
  }

  std::optional<CallContext> ScopeIn(const ServiceCatalog& aCatalog,
                                     const JobCall& aCall,
                                     JobReply& aReply) const
  {
    const JobQueue* queue = aCatalog.FindQueue(aCall.authority, aCall.path);
    if (queue == nullptr) {
      aReply = Refuse(JobReply::Kind::kNoQueue, "no such queue");
      return std::nullopt;
    }
    const TeamAccess* team = aCatalog.FindTeam(aCall.key);
    if (team == nullptr && !queue->IsPublic()) {
      aReply = Refuse(JobReply::Kind::kUnknownKey, "unknown key");
      return std::nullopt;
    }
    CallContext scope;
    scope.queue = *queue;
    scope.team = team == nullptr ? TeamName() : team->Team();
    scope.catalogVersion = aCatalog.Version();
    scope.catalogRevision = aCatalog.Revision();
    scope.job = JobKey(aCall.path.substr(queue->PathPrefix().size()));
    return scope;
  }

  bool IsTimeLeft(const JobCall& aCall) const
  {
    return Clock::now() + kAnswerMargin < aCall.deadline;
  }

  boost::asio::awaitable<JobReply> Submit(JobCall aCall, CallContext aScope)
  {
    if (!aCall.plan || aScope.job.Empty()) {
      co_return Refuse(JobReply::Kind::kMalformed, "the body is no job");
    }
    bool mayBeWritten = false;
    while (true) {
      Reason reason;
      const TableTransaction transaction = this->Admission(*aCall.plan, aScope);
      const CommitAnswer answer = co_await this->Commit(transaction, reason);
      if (answer.Outcome() == WriteOutcome::kCommitted) {
        co_return Done(JobReply::Kind::kAccepted);
      }
      if (answer.Outcome() == WriteOutcome::kConflict) {
        if (Has(answer.Current(), kJobTable, aScope.job.Text())) {
          co_return Done(JobReply::Kind::kAccepted);
        }
        // The configuration has changed: what it says now decides. An attempt
        // under the former one can no longer take effect.
        mayBeWritten = false;
        JobReply refusal;
        const auto scope = this->Rescope(aCall, answer.Current(), refusal);
        if (!scope) {
          co_return refusal;
        }
        aScope = *scope;
      } else {
        mayBeWritten =
          mayBeWritten || answer.Outcome() == WriteOutcome::kNotKnown;
        if (!mayBeWritten) {
          co_return Refuse(JobReply::Kind::kNotRun, reason.Message());
        }
        co_await Pause(*this->context, kRetryPause);
      }
      if (!this->IsTimeLeft(aCall)) {
        co_return Refuse(mayBeWritten ? JobReply::Kind::kNotKnown
                                      : JobReply::Kind::kNotRun,
                         "the store did not settle it in time");
      }
    }
  }

  static JobReply Done(JobReply::Kind aKind)
  {
    JobReply reply;
    reply.kind = aKind;
    return reply;
  }

  static bool Has(const std::vector<TableRow>& aRows,
                  const std::string& aTable,
                  const std::string& aKey)
  {
    return std::any_of(aRows.begin(), aRows.end(), [&](const TableRow& aRow) {
      return aRow.Table() == aTable && aRow.Key() == aKey &&
             aRow.Revision() > 0;
    });
  }

  /** The job and its progress, if there is no such job and the configuration is
   * still the one that allowed it. */
  TableTransaction Admission(const JobPlan& aPlan,
                             const CallContext& aScope) const
  {
    Reason ignored; // The scope has a queue and a job's key.
    const auto now = WallNow();
    const auto job = AdmittedJobBuilder()
                       .Key(aScope.job)
                       .Queue(aScope.queue.Name())
                       .Service(aScope.queue.Service())
                       .Team(aScope.team)
                       .Priority(aScope.queue.Priority())
                       .MaxAttempts(aScope.queue.MaxAttempts())
                       .Stretch(aScope.queue.Stretch())
                       .Allowance(aScope.queue.Allowance())
                       .Admitted(now)
                       .Plan(aPlan)
                       .Build(ignored);
    const auto progress =
      JobProgressBuilder().Queue(aScope.queue.Name()).Build(ignored);
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kJobTable, aScope.job.Text(), 0);
    AddCheck(checks,
             Schema::CatalogTable(),
             Schema::CatalogKey(),
             aScope.catalogRevision);
    AddWrite(writes, kJobTable, aScope.job.Text(), EncodeAdmittedJob(*job));
    AddWrite(
      writes, kProgressTable, aScope.job.Text(), EncodeJobProgress(*progress));
    return MakeTransaction(std::move(checks), std::move(writes));
  }

  /** Decides anew by the configuration that made a transaction fail. */
  std::optional<CallContext> Rescope(const JobCall& aCall,
                                     const std::vector<TableRow>& aRows,
                                     JobReply& aReply) const
  {
    const auto found =
      std::find_if(aRows.begin(), aRows.end(), [](const TableRow& aRow) {
        return aRow.Table() == Schema::CatalogTable() &&
               aRow.Key() == Schema::CatalogKey();
      });
    Reason reason;
    const auto catalog = found == aRows.end()
                           ? std::nullopt
                           : Schema::DecodeCatalog(*found, reason);
    if (!catalog) {
      aReply = Refuse(JobReply::Kind::kNotRun, reason.Message());
      return std::nullopt;
    }
    this->catalogSeen(*found);
    return this->ScopeIn(*catalog, aCall, aReply);
  }

  boost::asio::awaitable<JobReply> Show(CallContext aScope)
  {
    if (aScope.job.Empty()) {
      JobReply reply = co_await this->ShowQueue(std::move(aScope));
      co_return reply;
    }
    Reason reason;
    std::int64_t revision = 0;
    const std::optional<JobProgress> progress =
      co_await this->ReadProgress(aScope.job, revision, reason);
    if (progress && progress->Queue() == aScope.queue.Name()) {
      JobReply reply = Done(JobReply::Kind::kState);
      reply.state = progress->State();
      co_return reply;
    }
    if (progress || reason.At() == Step::kAdmission) {
      co_return Refuse(JobReply::Kind::kNoJob, "no such job");
    }
    co_return Refuse(JobReply::Kind::kNotRun, reason.Message());
  }

  boost::asio::awaitable<JobReply> ShowQueue(CallContext aScope)
  {
    Reason reason;
    std::string table = kDomainTable;
    std::string from = kPendingRow;
    std::string to = AfterKey(kPendingRow);
    const auto page = co_await this->Read(
      std::move(table), std::move(from), std::move(to), reason);
    if (!page) {
      co_return Refuse(JobReply::Kind::kNotRun, reason.Message());
    }
    JobReply reply = Done(JobReply::Kind::kPending);
    if (!page->Rows().empty()) {
      reply.pending =
        DecodePending(page->Rows().front().Value(), aScope.queue.Name());
    }
    co_return reply;
  }

  /** When it is empty, the reason's step is kAdmission if there certainly is no
   * such job. */
  boost::asio::awaitable<std::optional<JobProgress>>
  ReadProgress(JobKey aJob, std::int64_t& aRevision, Reason& aReason)
  {
    std::string table = kProgressTable;
    std::string from = aJob.Text();
    std::string to = AfterKey(aJob.Text());
    const auto page = co_await this->Read(
      std::move(table), std::move(from), std::move(to), aReason);
    if (!page) {
      co_return std::nullopt;
    }
    if (page->Rows().empty()) {
      aReason = Reason(Step::kAdmission, aJob.Text(), "no such job");
      co_return std::nullopt;
    }
    aRevision = page->Rows().front().Revision();
    co_return DecodeJobProgress(page->Rows().front().Value(), aReason);
  }

  boost::asio::awaitable<JobReply> Cancel(JobCall aCall, CallContext aScope)
  {
    if (aScope.job.Empty()) {
      co_return Refuse(JobReply::Kind::kMalformed, "no job is named");
    }
    while (true) {
      Reason reason;
      std::int64_t revision = 0;
      const std::optional<JobProgress> progress =
        co_await this->ReadProgress(aScope.job, revision, reason);
      if (!progress && reason.At() == Step::kAdmission) {
        co_return Refuse(JobReply::Kind::kNoJob, "no such job");
      }
      if (progress && progress->Queue() != aScope.queue.Name()) {
        co_return Refuse(JobReply::Kind::kNoJob, "no such job");
      }
      if (progress && IsFinal(progress->State())) {
        co_return Done(JobReply::Kind::kCancelled);
      }
      if (progress) {
        const TableTransaction transaction =
          this->Cancellation(*progress, revision, aScope);
        const CommitAnswer answer = co_await this->Commit(transaction, reason);
        if (answer.Outcome() == WriteOutcome::kCommitted) {
          co_return Done(JobReply::Kind::kCancelled);
        }
        if (answer.Outcome() == WriteOutcome::kConflict) {
          JobReply refusal;
          const auto scope = this->Rescope(aCall, answer.Current(), refusal);
          if (!scope) {
            co_return refusal;
          }
          aScope = *scope;
        }
      }
      if (!this->IsTimeLeft(aCall)) {
        co_return Refuse(JobReply::Kind::kNotKnown,
                         "the store did not settle it in time");
      }
      co_await Pause(*this->context, kCancelPause);
    }
  }

  /** The holder changes the progress of a running job often. */
  static constexpr Milliseconds kCancelPause{ 10 };

  TableTransaction Cancellation(const JobProgress& aProgress,
                                std::int64_t aRevision,
                                const CallContext& aScope) const
  {
    Reason ignored; // The stored progress has a queue.
    const auto cancelled = JobProgressBuilder()
                             .Queue(aProgress.Queue())
                             .State(JobState::kCancelled)
                             .Marks(aProgress.Marks())
                             .FailedRuns(aProgress.FailedRuns())
                             .Placements(aProgress.Placements())
                             .Build(ignored);
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kProgressTable, aScope.job.Text(), aRevision);
    AddCheck(checks,
             Schema::CatalogTable(),
             Schema::CatalogKey(),
             aScope.catalogRevision);
    AddWrite(
      writes, kProgressTable, aScope.job.Text(), EncodeJobProgress(*cancelled));
    // Tells the holder, which follows this table.
    AddWrite(writes, kJobTable, CancelRowKey(aScope.job), "");
    return MakeTransaction(std::move(checks), std::move(writes));
  }

  void Log(const JobCall& aCall,
           const CallContext* aScope,
           const JobReply& aReply,
           Instant aAsked) const
  {
    const Instant now = Clock::now();
    this->metrics->Call(aCall.kind, aReply.kind, now - aAsked);
    EventLine line("call");
    line.Field("kind", JobCallName(aCall.kind))
      .Field("path", aCall.path)
      .Field("outcome", JobReplyName(aReply.kind))
      .Field("took_ms",
             std::chrono::duration_cast<Milliseconds>(now - aAsked).count())
      .Field("proof_ms", this->currentCatalog->ConfirmationAge(now).count());
    if (aScope != nullptr) {
      line.Field("job", aScope->job.Text())
        .Field("team", aScope->team.Text())
        .Field("catalog", aScope->catalogVersion);
    }
    if (!aReply.cause.empty()) {
      line.Field("cause", aReply.cause);
    }
    line.Emit();
  }

  boost::asio::io_context* context;
  Store* store;
  const CurrentCatalog* currentCatalog;
  DomainMetrics* metrics;
  StoreHealth watch;
  Milliseconds maxConfirmationAge;
  CatalogSeen catalogSeen;
};

}
