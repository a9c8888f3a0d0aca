#pragma once

#include "codecs/admitted_job_json.h"
#include "codecs/job_progress_json.h"
#include "codecs/pending_json.h"
#include "contracts/admitted_job_builder.h"
#include "contracts/event_names.h"
#include "contracts/job_call.h"
#include "contracts/job_progress_builder.h"
#include "contracts/job_reply.h"
#include "contracts/progress_limits.h"
#include "core/reason.h"
#include "core/wall_time.h"
#include "links/row_store.h"
#include "machines/caller_charge.h"
#include "scheduling/call_context.h"
#include "scheduling/current_catalog.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "scheduling/known_backlog.h"
#include "scheduling/known_usage.h"
#include "scheduling/pause.h"
#include "scheduling/platform_schema.h"
#include "scheduling/store_health.h"
#include "scheduling/store_rows.h"
#include "zones/job_intake.h"
#include "zones/refusals/refusal_decision.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinecourse {

/**
 * Serves callers' calls about jobs from the store. A submitted job is reported
 * as accepted once it is stored, and as not run only if no attempt to store it
 * can still take effect; otherwise the outcome is reported as not known. An
 * instance is used on one thread.
 */
template<RowStore Store, PlatformSchema Schema>
class DomainJobApi
{
public:
  using CatalogCallback = std::function<void(const TableRow&)>;

  /** aOnCatalogRow receives the row of a configuration that came with an answer
   * of the store; it is called on this instance's thread. aRevokeTime is the
   * time within which a revoked key must be refused. */
  DomainJobApi(boost::asio::io_context& aContext,
               Store& aStore,
               const CurrentCatalog& aCurrentCatalog,
               DomainMetrics& aMetrics,
               Milliseconds aRevokeTime,
               CatalogCallback aOnCatalogRow)
    : context(&aContext)
    , store(&aStore)
    , currentCatalog(&aCurrentCatalog)
    , metrics(&aMetrics)
    , maxConfirmationAge(aRevokeTime - kConfirmationMargin)
    , onCatalogRow(std::move(aOnCatalogRow))
  {
  }

  /** Charges aLoad with what waits for the store, and refuses jobs that have no
   * room there. */
  void ChargeTo(CallerLoad& aLoad) { this->load = &aLoad; }
  /** Sets the data centre that is recorded for the jobs admitted here. */
  void SetDataCentre(DataCentreName aDataCentre)
  {
    this->dataCentre = std::move(aDataCentre);
  }

  /** Sets whether jobs are refused that the backlog keeps from being done for
   * their callers. */
  void SetRefusingForBacklog(bool aIsRefusing)
  {
    this->isRefusingForBacklog = aIsRefusing;
  }

  /** Retries of calls end by aTime, whatever the calls' deadlines. */
  void AnswerBy(Instant aTime) { this->answerBy = aTime; }

  /** The reply to a call that is refused for its queue or key, whatever its
   * body; logs and counts it. Empty if the call is to be served. */
  std::optional<JobReply> Reject(const JobCall& aCall) const
  {
    JobReply reply;
    const Instant receivedAt = Clock::now();
    if (this->ResolveCall(aCall, reply)) {
      return std::nullopt;
    }
    this->Log(aCall, nullptr, reply, receivedAt);
    return reply;
  }

  /** Serves one call, logs it and counts it. Retries of a submit or a
   * cancellation stop shortly before the call's deadline. */
  boost::asio::awaitable<JobReply> Answer(JobCall aCall)
  {
    JobReply reply;
    const Instant receivedAt = Clock::now();
    const std::optional<CallContext> callContext =
      this->ResolveCall(aCall, reply);
    if (!callContext) {
      this->Log(aCall, nullptr, reply, receivedAt);
      co_return reply;
    }
    switch (aCall.kind) {
      case JobCall::Kind::kSubmit:
        reply = co_await this->Submit(aCall, *callContext);
        break;
      case JobCall::Kind::kCancel:
        reply = co_await this->Cancel(aCall, *callContext);
        break;
      case JobCall::Kind::kShow:
        reply = co_await this->ShowWithRetries(aCall, *callContext);
        break;
      case JobCall::Kind::kOther:
        reply = Refuse(JobReply::Kind::kMalformed, "no such method");
        break;
    }
    this->Log(aCall, &*callContext, reply, receivedAt);
    co_return reply;
  }

private:
  /** Part of the time to revoke a key that is reserved for the rest of a call
   * after the lookup of its key. */
  static constexpr Milliseconds kConfirmationMargin{ 1200 };
  /** With an older confirmation the store is treated as unreachable from this
   * host, so that nothing can be stored. Three times the longest wait of
   * CatalogWatcher, which renews the confirmation. */
  static constexpr Milliseconds kStoreLostAge{ 2400 };
  /** Time before the caller's deadline at which retries stop and the answer is
   * sent. */
  static constexpr Milliseconds kAnswerMargin{ 100 };
  static constexpr Milliseconds kRetryPause{ 60 };
  /** Number of times that a caller's question is read from the store. A host
   * that cannot read refuses soon, while the caller has time left to ask
   * another one. */
  static constexpr int kMaxReads = 3;
  /** Time after which a refused caller should retry. An outage of the store or
   * of the path to it lasts seconds, and another host may be able to
   * serve the call. */
  static constexpr Milliseconds kRetryAfter{ 1000 };
  /** The same when the accepted jobs leave no room. Jobs end over seconds, and
   * no other host has room either. */
  static constexpr Milliseconds kRetryAfterForRoom{ 5000 };

  /** As rows, encoded for the store, in its message, and as sent. */
  static constexpr std::int64_t kFormsOfTransaction = 4;
  /** Characters of a call's path that are logged. */
  static constexpr std::size_t kMaxLoggedPath = 256;

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

  /** Resolves the call's queue and team in the configuration in force; empty,
   * with the reply, when the call is refused. */
  std::optional<CallContext> ResolveCall(const JobCall& aCall,
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
    if (this->IsStoreUnresponsive()) {
      aReply = Refuse(JobReply::Kind::kNotRun, "the store does not answer");
      return std::nullopt;
    }
    return this->ResolveCallIn(*catalog, aCall, aReply);
  }

  bool IsStoreUnresponsive() const
  {
    return this->storeHealth.IsUnresponsive(
      Clock::now(), this->currentCatalog->ConfirmedAt());
  }

  boost::asio::awaitable<CommitAnswer> Commit(
    const TableTransaction& aTransaction,
    Reason& aReason)
  {
    const std::uint64_t call = this->storeHealth.CallSent(Clock::now());
    CommitAnswer answer = co_await this->store->Commit(aTransaction, aReason);
    this->storeHealth.CallCompleted(
      call, answer.Outcome() != WriteOutcome::kNotKnown, Clock::now());
    co_return answer;
  }

  boost::asio::awaitable<std::optional<RowPage>> Read(std::string aTable,
                                                      std::string aFrom,
                                                      std::string aTo,
                                                      Reason& aReason)
  {
    const std::uint64_t call = this->storeHealth.CallSent(Clock::now());
    std::optional<RowPage> page = co_await this->store->Read(
      std::move(aTable), std::move(aFrom), std::move(aTo), aReason);
    // A refusal by the store has the step kPlatformRead; a lost answer has the
    // step of the call.
    const bool isAnswered =
      page.has_value() || aReason.At() == Step::kPlatformRead;
    this->storeHealth.CallCompleted(call, isAnswered, Clock::now());
    co_return page;
  }

  boost::asio::awaitable<std::optional<RowPage>> ReadRow(std::string aTable,
                                                         std::string aKey,
                                                         Reason& aReason)
  {
    std::string to = AfterKey(aKey);
    std::optional<RowPage> page = co_await this->Read(
      std::move(aTable), std::move(aKey), std::move(to), aReason);
    co_return page;
  }

  std::optional<CallContext> ResolveCallIn(const ServiceCatalog& aCatalog,
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
    CallContext callContext;
    callContext.queue = *queue;
    callContext.team = team == nullptr ? TeamName() : team->Team();
    callContext.catalogVersion = aCatalog.Version();
    callContext.catalogRevision = aCatalog.Revision();
    callContext.job = JobKey(aCall.path.substr(queue->PathPrefix().size()));
    return callContext;
  }

  bool IsTimeLeft(const JobCall& aCall) const
  {
    return Clock::now() + kAnswerMargin <
           std::min(aCall.deadline, this->answerBy);
  }

  boost::asio::awaitable<JobReply> Submit(JobCall aCall,
                                          CallContext aCallContext)
  {
    if (!aCall.plan) {
      co_return Refuse(JobReply::Kind::kMalformed, aCall.planRefusal);
    }
    if (aCallContext.job.Empty()) {
      co_return Refuse(JobReply::Kind::kMalformed, "no job is named");
    }
    Reason sizeReason;
    if (!HasStorableProgress(
          *aCall.plan, aCallContext.queue.MaxAttempts(), sizeReason)) {
      co_return Refuse(JobReply::Kind::kMalformed, sizeReason.Message());
    }
    const std::int64_t bytes = IntakeBytesOf(*aCall.plan);
    bool mayBeWritten = false;
    while (true) {
      Reason reason;
      // An attempt that may still take effect has to be settled instead.
      if (!mayBeWritten && !this->usage.HasRoom(aCallContext, bytes, reason)) {
        const bool isCurrent = co_await this->UpdateUsage(reason);
        if (!isCurrent || !this->usage.HasRoom(aCallContext, bytes, reason)) {
          JobReply reply =
            co_await this->RefuseForRoom(std::move(aCallContext), reason);
          co_return reply;
        }
      }
      const AdmittedJob job = this->MakeJob(*aCall.plan, aCallContext);
      const Instant sent = Clock::now();
      const auto retryAfter = RetryAfterBacklog(job, this->backlog.Fresh(sent));
      if (!mayBeWritten && retryAfter) {
        JobReply reply =
          co_await this->RefuseForBacklog(std::move(aCallContext), *retryAfter);
        co_return reply;
      }
      const TableTransaction transaction =
        this->MakeAdmission(job, aCallContext);
      const std::int64_t held = kFormsOfTransaction * BytesOf(transaction);
      if (!mayBeWritten && !this->HasRoomToWait(held)) {
        co_return Refuse(JobReply::Kind::kNotRun,
                         "too many calls wait for the store");
      }
      const CallerCharge charge(this->load, held);
      const CommitAnswer answer = co_await this->Commit(transaction, reason);
      if (answer.Outcome() == WriteOutcome::kCommitted) {
        this->backlog.NoteUnchanged(sent);
        this->usage.Add(aCallContext, bytes);
        co_return MakeReply(JobReply::Kind::kAccepted);
      }
      if (answer.Outcome() == WriteOutcome::kConflict) {
        const std::string& job = aCallContext.job.Text();
        if (ContainsRow(answer.Current(), kJobTable, job) ||
            ContainsRow(answer.Current(), kEndedTable, job)) {
          co_return MakeReply(JobReply::Kind::kAccepted);
        }
        if (ContainsRow(answer.Current(), kTombstoneTable, job)) {
          JobReply refusal =
            Refuse(JobReply::Kind::kNotRun, "the job was cancelled before");
          // A repetition is refused too.
          refusal.retryAfter = Milliseconds(0);
          co_return refusal;
        }
        // The configuration or the usage has changed, so the call is resolved
        // again with the new one. An attempt under the previous one can no
        // longer take effect.
        mayBeWritten = false;
        this->usage.Update(answer.Current(), Clock::now());
        this->backlog.Update(answer.Current(), sent);
        JobReply refusal;
        const auto callContext =
          this->ResolveCallAgain(aCall, answer.Current(), refusal);
        if (!callContext) {
          co_return refusal;
        }
        aCallContext = *callContext;
      } else {
        mayBeWritten =
          mayBeWritten || answer.Outcome() == WriteOutcome::kNotKnown;
        if (answer.IsInvalid()) {
          // No earlier attempt can have been stored either.
          co_return Refuse(JobReply::Kind::kMalformed, reason.Message());
        }
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

  /** Reads the usage again if it is too old to refuse a job by it; false, with
   * the reason, when that failed. */
  boost::asio::awaitable<bool> UpdateUsage(Reason& aReason)
  {
    if (this->usage.IsFresh(Clock::now())) {
      co_return true;
    }
    std::string table = kDomainTable;
    std::string key = kUsageRow;
    const auto page =
      co_await this->ReadRow(std::move(table), std::move(key), aReason);
    if (page) {
      this->usage.Update(page->Rows(), Clock::now());
    }
    co_return page.has_value();
  }

  /** Refuses a job for which there is no room, unless it is a repetition of one
   * that was accepted before. */
  boost::asio::awaitable<JobReply> RefuseForRoom(
    CallContext aCallContext,
    Reason aCause,
    Milliseconds aRetryAfter = kRetryAfterForRoom)
  {
    Reason reason;
    std::int64_t revision = 0;
    const std::optional<JobProgress> progress =
      co_await this->ReadProgress(aCallContext.job, revision, reason);
    if (progress) {
      co_return MakeReply(JobReply::Kind::kAccepted);
    }
    if (reason.At() != Step::kAdmission) {
      co_return Refuse(JobReply::Kind::kNotKnown, reason.Message());
    }
    JobReply refusal = Refuse(JobReply::Kind::kNotRun, aCause.Message());
    refusal.retryAfter = aRetryAfter;
    co_return refusal;
  }

  bool HasRoomToWait(std::int64_t aBytes) const
  {
    return this->load == nullptr || this->load->HeldBytes() + aBytes <=
                                      this->load->Limits().MemoryBytes();
  }

  static std::int64_t BytesOf(const TableTransaction& aTransaction)
  {
    std::size_t bytes = 0;
    for (const TableWrite& write : aTransaction.Writes()) {
      bytes += write.NewValue() ? write.NewValue()->size() : 0;
    }
    return static_cast<std::int64_t>(bytes);
  }

  /** Refuses a job that could not be done for its caller, unless it was
   * accepted before. */
  boost::asio::awaitable<JobReply> RefuseForBacklog(CallContext aCallContext,
                                                    Milliseconds aRetryAfter)
  {
    Reason cause(Step::kAdmission,
                 aCallContext.team.Text(),
                 "the job could not be done in time");
    JobReply reply = co_await this->RefuseForRoom(
      std::move(aCallContext), std::move(cause), aRetryAfter);
    if (reply.kind == JobReply::Kind::kNotRun) {
      this->metrics->Count(DomainMetrics::Event::kBacklogRefusal);
    }
    co_return reply;
  }

  static JobReply MakeReply(JobReply::Kind aKind)
  {
    JobReply reply;
    reply.kind = aKind;
    return reply;
  }

  static bool ContainsRow(const std::vector<TableRow>& aRows,
                          const std::string& aTable,
                          const std::string& aKey)
  {
    return std::any_of(aRows.begin(), aRows.end(), [&](const TableRow& aRow) {
      return aRow.Table() == aTable && aRow.Key() == aKey &&
             aRow.Revision() > 0;
    });
  }

  /** The job of a call as it is stored. */
  AdmittedJob MakeJob(const JobPlan& aPlan,
                      const CallContext& aCallContext) const
  {
    Reason ignored; // The call context has a queue and a job's key.
    return AdmittedJobBuilder()
      .Key(aCallContext.job)
      .Queue(aCallContext.queue.Name())
      .Address(aCallContext.queue.Address())
      .Service(aCallContext.queue.Service())
      .Team(aCallContext.team)
      .DataCentre(this->dataCentre)
      .Priority(aCallContext.queue.Priority())
      .MaxAttempts(aCallContext.queue.MaxAttempts())
      .Stretch(aCallContext.queue.Stretch())
      .Allowance(aCallContext.queue.Allowance())
      .Admitted(WallNow())
      .Plan(aPlan)
      .Build(ignored)
      .value_or(AdmittedJob());
  }

  /** Transaction that stores a new job and its progress, on condition that the
   * job does not exist yet, was not cancelled, and neither the configuration
   * nor the usage has changed. */
  TableTransaction MakeAdmission(const AdmittedJob& aJob,
                                 const CallContext& aCallContext) const
  {
    Reason ignored; // The call context has a queue.
    const auto progress = JobProgressBuilder()
                            .Queue(aCallContext.queue.Name())
                            .Address(aCallContext.queue.Address())
                            .Build(ignored);
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kJobTable, aCallContext.job.Text(), 0);
    AddCheck(checks, kEndedTable, aCallContext.job.Text(), 0);
    AddCheck(checks, kTombstoneTable, aCallContext.job.Text(), 0);
    AddCheck(checks,
             Schema::CatalogTable(),
             Schema::CatalogKey(),
             aCallContext.catalogRevision);
    AddCheck(checks, kDomainTable, kUsageRow, this->usage.Revision());
    if (this->isRefusingForBacklog) {
      AddCheck(checks, kDomainTable, kBacklogRow, this->backlog.Revision());
    }
    AddWrite(
      writes, kJobTable, aCallContext.job.Text(), EncodeAdmittedJob(aJob));
    AddWrite(writes,
             kProgressTable,
             aCallContext.job.Text(),
             EncodeJobProgress(*progress));
    return MakeTransaction(std::move(checks), std::move(writes));
  }

  /** Resolves the call again with the configuration whose change made a
   * transaction fail; empty, with the reply, when the call is refused. */
  std::optional<CallContext> ResolveCallAgain(
    const JobCall& aCall,
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
    this->onCatalogRow(*found);
    return this->ResolveCallIn(*catalog, aCall, aReply);
  }

  /** Repeats a read that fails, unless the store leaves calls unanswered. */
  boost::asio::awaitable<JobReply> ShowWithRetries(JobCall aCall,
                                                   CallContext aCallContext)
  {
    JobReply reply = co_await this->Show(aCallContext);
    for (int reads = 1;
         reads < kMaxReads && reply.kind == JobReply::Kind::kNotRun;
         ++reads) {
      co_await Pause(*this->context, kRetryPause);
      if (!this->IsTimeLeft(aCall) || this->IsStoreUnresponsive()) {
        break;
      }
      reply = co_await this->Show(aCallContext);
    }
    co_return reply;
  }

  boost::asio::awaitable<JobReply> Show(CallContext aCallContext)
  {
    if (aCallContext.job.Empty()) {
      JobReply reply = co_await this->ShowQueue(std::move(aCallContext));
      co_return reply;
    }
    Reason reason;
    std::int64_t revision = 0;
    const std::optional<JobProgress> progress =
      co_await this->ReadProgress(aCallContext.job, revision, reason);
    if (progress &&
        aCallContext.queue.Contains(progress->Queue(), progress->Address())) {
      JobReply reply = MakeReply(JobReply::Kind::kState);
      reply.state = progress->State();
      co_return reply;
    }
    if (progress || reason.At() == Step::kAdmission) {
      co_return Refuse(JobReply::Kind::kNoJob, "no such job");
    }
    co_return Refuse(JobReply::Kind::kNotRun, reason.Message());
  }

  boost::asio::awaitable<JobReply> ShowQueue(CallContext aCallContext)
  {
    Reason reason;
    std::string table = kDomainTable;
    std::string key = kPendingRow;
    const auto page =
      co_await this->ReadRow(std::move(table), std::move(key), reason);
    if (!page) {
      co_return Refuse(JobReply::Kind::kNotRun, reason.Message());
    }
    JobReply reply = MakeReply(JobReply::Kind::kPending);
    if (!page->Rows().empty()) {
      reply.pending =
        DecodePending(page->Rows().front().Value(), aCallContext.queue.Name());
    }
    co_return reply;
  }

  /** Reads a job's progress, or its final state once it is archived, and the
   * revision. When it is empty, the reason's step is kAdmission if the store
   * has no such job, and another one if the read failed. */
  boost::asio::awaitable<std::optional<JobProgress>>
  ReadProgress(JobKey aJob, std::int64_t& aRevision, Reason& aReason)
  {
    // In this order, because a job may be archived between the reads.
    for (const std::string& table : { kProgressTable, kEndedTable }) {
      std::string key = aJob.Text();
      const auto page = co_await this->ReadRow(table, std::move(key), aReason);
      if (!page) {
        co_return std::nullopt;
      }
      if (!page->Rows().empty()) {
        aRevision = page->Rows().front().Revision();
        co_return DecodeJobProgress(page->Rows().front().Value(), aReason);
      }
    }
    aReason = Reason(Step::kAdmission, aJob.Text(), "no such job");
    co_return std::nullopt;
  }

  boost::asio::awaitable<JobReply> Cancel(JobCall aCall,
                                          CallContext aCallContext)
  {
    if (aCallContext.job.Empty()) {
      co_return Refuse(JobReply::Kind::kMalformed, "no job is named");
    }
    while (true) {
      Reason reason;
      std::int64_t revision = 0;
      const std::optional<JobProgress> progress =
        co_await this->ReadProgress(aCallContext.job, revision, reason);
      const bool isUnknown = !progress && reason.At() == Step::kAdmission;
      if (progress && !aCallContext.queue.Contains(progress->Queue(),
                                                   progress->Address())) {
        co_return Refuse(JobReply::Kind::kNoJob, "no such job");
      }
      if (progress && IsFinal(progress->State())) {
        co_return MakeReply(JobReply::Kind::kCancelled);
      }
      if (progress || isUnknown) {
        const TableTransaction transaction =
          progress ? this->MakeCancellation(*progress, revision, aCallContext)
                   : this->MakeTombstone(aCallContext);
        const CommitAnswer answer = co_await this->Commit(transaction, reason);
        if (answer.Outcome() == WriteOutcome::kCommitted && isUnknown) {
          co_return Refuse(JobReply::Kind::kNoJob, "no such job");
        }
        if (answer.Outcome() == WriteOutcome::kCommitted) {
          co_return MakeReply(JobReply::Kind::kCancelled);
        }
        if (answer.IsInvalid() && isUnknown) {
          // No job with this key can be admitted either.
          co_return Refuse(JobReply::Kind::kNoJob, "no such job");
        }
        if (answer.Outcome() == WriteOutcome::kConflict) {
          JobReply refusal;
          const auto callContext =
            this->ResolveCallAgain(aCall, answer.Current(), refusal);
          if (!callContext) {
            co_return refusal;
          }
          aCallContext = *callContext;
        }
      }
      if (!this->IsTimeLeft(aCall)) {
        co_return Refuse(JobReply::Kind::kNotKnown,
                         "the store did not settle it in time");
      }
      co_await Pause(*this->context, kCancelPause);
    }
  }

  /** Transaction that forbids the admission of a job, on condition that it does
   * not exist. Without it "no such job" would be untrue a moment later, when an
   * admission that is under way is stored. */
  TableTransaction MakeTombstone(const CallContext& aCallContext) const
  {
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kJobTable, aCallContext.job.Text(), 0);
    AddCheck(checks, kEndedTable, aCallContext.job.Text(), 0);
    AddCheck(checks,
             Schema::CatalogTable(),
             Schema::CatalogKey(),
             aCallContext.catalogRevision);
    AddWrite(writes, kTombstoneTable, aCallContext.job.Text(), "");
    return MakeTransaction(std::move(checks), std::move(writes));
  }

  /** Pause before a cancellation is retried. It is short, since the holder
   * often changes the progress of a running job, which makes the transaction
   * fail. */
  static constexpr Milliseconds kCancelPause{ 10 };

  /** Transaction that marks a job as cancelled, on condition that neither its
   * progress nor the configuration has changed. */
  TableTransaction MakeCancellation(const JobProgress& aProgress,
                                    std::int64_t aRevision,
                                    const CallContext& aCallContext) const
  {
    Reason ignored; // The stored progress has a queue.
    const auto cancelled = JobProgressBuilder()
                             .Queue(aProgress.Queue())
                             .Address(aProgress.Address())
                             .State(JobState::kCancelled)
                             .Marks(aProgress.Marks())
                             .FailedRuns(aProgress.FailedRuns())
                             .Placements(aProgress.Placements())
                             .Rows(aProgress.Rows())
                             .Build(ignored);
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kProgressTable, aCallContext.job.Text(), aRevision);
    AddCheck(checks,
             Schema::CatalogTable(),
             Schema::CatalogKey(),
             aCallContext.catalogRevision);
    AddWrite(writes,
             kProgressTable,
             aCallContext.job.Text(),
             EncodeJobProgress(*cancelled));
    // Notifies the holder, which follows this table.
    AddWrite(writes, kJobTable, CancelRowKey(aCallContext.job), "");
    return MakeTransaction(std::move(checks), std::move(writes));
  }

  void Log(const JobCall& aCall,
           const CallContext* aCallContext,
           const JobReply& aReply,
           Instant aReceivedAt) const
  {
    const Instant now = Clock::now();
    this->metrics->CountCall(aCall.kind, aReply.kind, now - aReceivedAt);
    EventLine line("call");
    line.Field("kind", JobCallName(aCall.kind))
      .Field("path", std::string_view(aCall.path).substr(0, kMaxLoggedPath))
      .Field("outcome", JobReplyName(aReply.kind))
      .Field(
        "took_ms",
        std::chrono::duration_cast<Milliseconds>(now - aReceivedAt).count())
      .Field("proof_ms", this->currentCatalog->ConfirmationAge(now).count());
    if (aCallContext != nullptr) {
      line.Field("job", aCallContext->job.Text())
        .Field("team", aCallContext->team.Text())
        .Field("catalog", aCallContext->catalogVersion);
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
  StoreHealth storeHealth;
  KnownUsage usage;
  KnownBacklog backlog;
  DataCentreName dataCentre;
  bool isRefusingForBacklog = false;
  Milliseconds maxConfirmationAge;
  Instant answerBy = Instant::max();
  CallerLoad* load = nullptr;
  CatalogCallback onCatalogRow;
};

}
