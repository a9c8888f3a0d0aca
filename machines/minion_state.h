#pragma once

#include "core/instant.h"
#include "machines/leaving_source.h"
#include "machines/minion.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/**
 * A minion with this host's counters for it. It outlives the snapshots that
 * refer to it, so that the counters survive a change of settings. All methods
 * are thread-safe and none blocks.
 */
class MinionState
{
public:
  explicit MinionState(Minion aMinion);

  const Minion& Upstream() const { return this->minion; }
  /** Requests that this host has in flight at the minion. */
  std::int32_t InFlight() const;
  /** Number of the minion's slots that this host may use. */
  std::int32_t Share() const;
  void SetShare(std::int32_t aShare);
  /** Takes a slot; false when this host already uses its share. */
  bool TryAcquire();
  void Release();

  /** Counts a new connection; false when this host has its share of them open.
   */
  bool TryOpenConnection();
  void ConnectionClosed();
  std::int32_t OpenConnections() const;
  void SetConnectionShare(std::int32_t aShare);

  /** Smoothed time until the whole answer arrived; empty without a recent
   * answer. */
  std::optional<std::chrono::microseconds> Latency(Instant aNow) const;
  void RecordAnswer(std::chrono::microseconds aLatency, Instant aNow);
  /** Counts an attempt without an answer; several in a row eject the minion for
   * a time that grows with each further one. */
  void RecordFailure(Instant aNow);
  bool Ejected(Instant aNow) const;

  /** The minion gets no new work while any source reports it as leaving. */
  void MarkLeaving(LeavingSource aSource);
  void ClearLeaving(LeavingSource aSource);
  bool Leaving() const;
  bool Leaving(LeavingSource aSource) const;

private:
  /** The counters fill one cache line, separate from the immutable minion. */
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
