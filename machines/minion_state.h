#pragma once

#include "core/instant.h"
#include "machines/leaving_source.h"
#include "machines/minion.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/**
 * A minion with this host's live counters of it. It outlives the snapshots that
 * name it, so that counts survive a change of settings. Every method may be
 * called by any thread and none waits.
 */
class MinionState
{
public:
  explicit MinionState(Minion aMinion);

  const Minion& Upstream() const { return this->minion; }
  /** Requests that this host has under way there. */
  std::int32_t InFlight() const;
  /** Slots there that this host may use. */
  std::int32_t Share() const;
  void SetShare(std::int32_t aShare);
  /** Takes a slot unless this host already uses its share. */
  bool TryAcquire();
  void Release();

  /** Takes one of the connections that this host may hold open there. */
  bool TryOpenConnection();
  void ConnectionClosed();
  std::int32_t OpenConnections() const;
  void SetConnectionShare(std::int32_t aShare);

  /** Smoothed time to the whole answer; empty when no recent answer tells. */
  std::optional<std::chrono::microseconds> Latency(Instant aNow) const;
  void RecordAnswer(std::chrono::microseconds aLatency, Instant aNow);
  /** Counts an attempt that brought no answer; several in a row eject the
   * minion for a while. */
  void RecordFailure(Instant aNow);
  bool Ejected(Instant aNow) const;

  /** The minion gets no new work from the first sign until none is left. */
  void MarkLeaving(LeavingSource aSign);
  void ClearLeaving(LeavingSource aSign);
  bool Leaving() const;
  bool Leaving(LeavingSource aSign) const;

private:
  /** The counters fill one cache line, apart from what never changes. */
  static constexpr std::size_t kCacheLineBytes = 64;

  alignas(kCacheLineBytes) std::atomic<std::int32_t> inFlight = 0;
  std::atomic<std::int32_t> share;
  std::atomic<std::int64_t> latencyUs = 0;
  std::atomic<Clock::rep> lastAnswer = 0;
  std::atomic<Clock::rep> ejectedUntil = 0;
  std::atomic<std::int32_t> openConnections = 0;
  std::atomic<std::int32_t> connectionShare;
  std::atomic<std::int32_t> failuresInRow = 0;
  std::atomic<std::uint8_t> leavingSources = 0;
  alignas(kCacheLineBytes) Minion minion;
};

}
