#pragma once

#include "contracts/task_address.h"
#include "core/instant.h"
#include "machines/worker_listing.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace sardinecourse {

/** A worker as the holder of its domain follows it: its lease, what takes room
 * on it, and the ends it has listed. */
class TrackedWorker
{
public:
  explicit TrackedWorker(WorkerListing aListing);

  const WorkerListing& Listing() const { return this->listing; }
  void List(WorkerListing aListing, Instant aNow);
  void Unlist() { this->listed = false; }
  bool Listed() const { return this->listed; }
  /** When it was first listed as leaving. */
  std::optional<Instant> LeavingSince() const { return this->leavingSince; }

  std::int64_t Incarnation() const { return this->incarnation; }
  /** True once it has answered this holder, so that it refuses earlier ones. */
  bool HasAnswered() const { return this->reached; }
  Instant LastReport() const { return this->lastReport; }
  /** Notes a report; true when the worker has restarted since the last one. */
  bool RecordAnswer(std::int64_t aIncarnation,
                    std::int64_t aClockMs,
                    Instant aReceived);
  /** The worker's clock as it is likely to be now, in ms. */
  std::int64_t ClockAt(Instant aNow) const;

  /** Notes a lease that was ordered, on the worker's clock. */
  void RecordLease(std::int64_t aUntilMs);
  /** Whether every lease that was ordered has certainly run out, or the worker
   * is over. */
  bool IsLeaseExpired(Instant aNow) const;
  /** Notes that this life of its machine has ended. */
  void MarkReplaced() { this->isReplaced = true; }
  bool IsReplaced() const { return this->isReplaced; }

  /** Tasks of units that take room here. */
  const std::set<TaskAddress>& Tasks() const { return this->tasks; }
  void Add(const TaskAddress& aTask, const Resources& aNeed);
  void Remove(const TaskAddress& aTask, const Resources& aNeed);
  /** How many tasks of a step, in one occurrence, are here. */
  std::int32_t CountOf(const TaskAddress& aAnyOfStep) const;
  const Resources& Used() const { return this->used; }
  /** Room of runs that no unit accounts for. */
  void SetOrphanUsage(Resources aRoom) { this->orphans = aRoom; }
  Resources Free() const;

  /** Notes an end that may be acknowledged once the job's version is stored;
   * false when it was noted before. */
  bool NoteEnd(std::int64_t aNumber);
  void AwaitStored(std::int64_t aNumber, JobKey aJob, std::int64_t aVersion);
  /** Ends of which the storing is awaited, oldest first. */
  struct UnstoredEnd
  {
    std::int64_t number;
    JobKey job;
    std::int64_t version;
  };
  std::deque<UnstoredEnd>& UnstoredEnds() { return this->awaited; }
  /** Nothing after a look that failed, or so long after the latest answer that
   * nothing would have shown a crash: the worker may have restarted since, and
   * the numbers of its ends with it. */
  std::int64_t Acknowledged(Instant aNow) const;
  void PollFailed() { this->isIncarnationConfirmed = false; }
  /** Whether the latest look was answered. */
  bool IsIncarnationConfirmed() const { return this->isIncarnationConfirmed; }
  void Acknowledge(std::int64_t aNumber) { this->acknowledged = aNumber; }

  void NoteSuccess();
  void NoteFailure(const JobKey& aJob, Instant aNow);
  /** Notes that a run on its own moves on far too slowly here. */
  void NoteSlow(Instant aNow) { this->slowSeen = aNow; }
  /** 0 for a worker of good standing; higher ones are used last. */
  std::int32_t Penalty(Instant aNow) const;

private:
  WorkerListing listing;
  bool listed = true;
  std::optional<Instant> leavingSince;
  bool reached = false;
  bool isReplaced = false;
  std::int64_t incarnation = 0;
  std::int64_t clockMs = 0;
  std::int64_t grantedUntilMs = 0;
  Instant lastReport{};
  std::set<TaskAddress> tasks;
  Resources used;
  Resources orphans;
  bool isIncarnationConfirmed = false;
  std::int64_t lastEnd = 0;
  std::int64_t acknowledged = 0;
  std::deque<UnstoredEnd> awaited;
  std::int32_t failuresInRow = 0;
  JobKey lastFailedJob;
  Instant lastFailure{};
  std::optional<Instant> slowSeen;
};

}
