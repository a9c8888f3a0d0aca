#pragma once

#include "contracts/task_address.h"
#include "core/instant.h"
#include "machines/worker_listing.h"
#include "zones/leases/order_fence.h"
#include "zones/stray_usage.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace sardinecourse {

/** A worker as the holder of its domain tracks it: its lease, the tasks that
 * use its resources, and the ended runs it has reported. */
class TrackedWorker
{
public:
  explicit TrackedWorker(WorkerListing aListing);

  const WorkerListing& Listing() const { return this->listing; }
  void List(WorkerListing aListing, Instant aNow);
  void Unlist() { this->listed = false; }
  bool Listed() const { return this->listed; }
  /** When the worker was first listed as leaving; empty while it is not
   * leaving. */
  std::optional<Instant> LeavingSince() const { return this->leavingSince; }
  /** Until when a worker that is leaving stays at least; empty when that is not
   * known. */
  const std::optional<Instant>& StaysUntil() const { return this->staysUntil; }

  std::int64_t Incarnation() const { return this->incarnation; }
  /** Whether the worker has answered this holder; from then on it refuses
   * orders of earlier holders. */
  bool HasAnswered() const { return this->hasAnswered; }
  /** Whether the worker has restarted since its first answer. */
  bool HasRestarted() const { return this->hasRestarted; }
  Instant LastReport() const { return this->lastReport; }
  /** Records a report; returns whether the worker has restarted since the
   * previous one. aClockMs is the worker's clock. */
  bool RecordAnswer(std::int64_t aIncarnation,
                    std::int64_t aClockMs,
                    Instant aReceived);
  /** Estimate of the worker's clock at aNow, in ms. */
  std::int64_t ClockAt(Instant aNow) const;

  /** Fence of the orders to this worker. */
  OrderFence& Fence() { return this->fence; }
  const OrderFence& Fence() const { return this->fence; }

  /** Records a lease that was ordered; aUntilMs is on the worker's clock. */
  void RecordLease(std::int64_t aUntilMs);
  /** Records a lease that the worker may have only while orders to an earlier
   * incarnation may still be carried out; see OrderFence::MayBeLate(). */
  void RecordLateLease(std::int64_t aUntilMs);
  /** Time until every lease that was ordered has certainly expired; negative
   * afterwards. Meaningless before the worker's first answer. */
  Milliseconds LeaseLeft(Instant aNow) const;
  /** Whether every lease that was ordered has certainly expired, or the worker
   * was replaced. */
  bool IsLeaseExpired(Instant aNow) const;
  /** Records that this incarnation of the worker was replaced. */
  void MarkReplaced() { this->isReplaced = true; }
  bool IsReplaced() const { return this->isReplaced; }

  /** Tasks of tracked units that use resources of the worker. */
  const std::set<TaskAddress>& Tasks() const { return this->tasks; }
  void Add(const TaskAddress& aTask, const Resources& aNeed);
  void Remove(const TaskAddress& aTask, const Resources& aNeed);
  /** Number of tasks on the worker that share the job, occurrence and step of
   * aAnyOfStep. */
  std::int32_t CountOf(const TaskAddress& aAnyOfStep) const;
  const Resources& Used() const { return this->used; }
  void SetStrayUsage(StrayUsage aUsage) { this->strayUsage = aUsage; }
  /** Whether the worker reported runs whose resources are not known. */
  bool HasUnknownRuns() const { return this->strayUsage.hasUnknown; }
  Resources Free() const;

  /** Records the number of an ended run; returns false when it was recorded
   * before. */
  bool NoteEnd(std::int64_t aNumber);
  void AddUnstoredEnd(std::int64_t aNumber, JobKey aJob, std::int64_t aVersion);
  /** Ended runs that cannot be acknowledged before their job's version is
   * stored, oldest first. */
  struct UnstoredEnd
  {
    std::int64_t number;
    JobKey job;
    std::int64_t version;
  };
  std::deque<UnstoredEnd>& UnstoredEnds() { return this->unstoredEnds; }
  /** Highest number of an ended run to acknowledge. 0 after a failed poll, or
   * when the latest answer is too old to rule out an unnoticed crash: the
   * worker may have restarted since, and its numbers with it. */
  std::int64_t Acknowledged(Instant aNow) const;
  void PollFailed()
  {
    this->isIncarnationConfirmed = false;
    this->isPollFailed = true;
    this->fence.Raise();
  }
  /** Whether a poll failed since the latest answer. */
  bool IsPollFailed() const { return this->isPollFailed; }
  /** Whether the latest poll was answered. */
  bool IsAnswering() const { return this->isIncarnationConfirmed; }
  /** Whether the latest poll was answered and the worker may be granted leases.
   */
  bool IsIncarnationConfirmed() const
  {
    return this->isIncarnationConfirmed && !this->isWithheld;
  }
  /** Records whether the worker gets no lease because a bound of its leases may
   * be stored. */
  void SetWithheld(bool aIsWithheld) { this->isWithheld = aIsWithheld; }
  bool IsWithheld() const { return this->isWithheld; }
  /** Records whether the store may say that the worker gets short leases only.
   */
  void SetShortLease(bool aIsShort) { this->isShortStored = aIsShort; }
  /** Whether the worker gets short leases only. */
  bool HasShortLease() const
  {
    return this->leavingSince || this->isShortStored;
  }
  void Acknowledge(std::int64_t aNumber) { this->acknowledged = aNumber; }

  void NoteSuccess();
  void NoteFailure(const JobKey& aJob, Instant aNow);
  /** Records that the worker refused a start, or accepted one. */
  void NoteRefusedStart(Instant aNow);
  void NoteAcceptedStart();
  /** Whether the worker gets no start because it refused the latest one. */
  bool IsRefusingStarts(Instant aNow) const { return aNow < this->nextStart; }
  /** Records that a run of a single task makes progress far too slowly on this
   * worker. */
  void NoteSlow(Instant aNow) { this->slowSeen = aNow; }
  /** Whether the worker is slow after its start. */
  bool IsCold(Instant aNow) const { return aNow < this->coldUntil; }
  /** 0 for a healthy worker; workers with a higher penalty are used last. */
  std::int32_t Penalty(Instant aNow) const;

private:
  WorkerListing listing;
  bool listed = true;
  std::optional<Instant> leavingSince;
  std::optional<Instant> staysUntil;
  bool hasAnswered = false;
  bool hasRestarted = false;
  bool isReplaced = false;
  std::int64_t incarnation = 0;
  std::int64_t clockMs = 0;
  std::int64_t grantedUntilMs = 0;
  std::int64_t lateUntilMs = 0;
  OrderFence fence;
  Instant lastReport{};
  std::set<TaskAddress> tasks;
  Resources used;
  StrayUsage strayUsage;
  bool isIncarnationConfirmed = false;
  bool isPollFailed = false;
  bool isWithheld = false;
  bool isShortStored = false;
  std::int64_t lastEnd = 0;
  std::int64_t acknowledged = 0;
  std::deque<UnstoredEnd> unstoredEnds;
  std::int32_t failuresInRow = 0;
  JobKey lastFailedJob;
  Instant lastFailure{};
  std::optional<Instant> slowSeen;
  Milliseconds startPause{ 0 };
  Instant nextStart{};
  Instant coldUntil{};
};

}
