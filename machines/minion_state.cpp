#include "machines/minion_state.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::chrono::seconds kLatencyValidity{ 10 };
constexpr std::int64_t kLatencyWeight = 8;
constexpr std::int32_t kFailuresToEject = 5;
constexpr std::chrono::seconds kFirstEjection{ 1 };
constexpr std::int32_t kMaxDoublings = 5;

}

MinionState::MinionState(Minion aMinion)
  : share(aMinion.Slots())
  , connectionShare(aMinion.Connections())
  , minion(std::move(aMinion))
{
}

std::int32_t
MinionState::InFlight() const
{
  return this->inFlight.load(std::memory_order_relaxed);
}

std::int32_t
MinionState::Share() const
{
  return this->share.load(std::memory_order_relaxed);
}

void
MinionState::SetShare(std::int32_t aShare)
{
  this->share.store(aShare, std::memory_order_relaxed);
}

bool
MinionState::TryAcquire()
{
  if (this->inFlight.fetch_add(1, std::memory_order_acq_rel) < this->Share()) {
    return true;
  }
  this->Release();
  return false;
}

void
MinionState::Release()
{
  this->inFlight.fetch_sub(1, std::memory_order_acq_rel);
}

bool
MinionState::TryOpenConnection()
{
  const std::int32_t limit =
    this->connectionShare.load(std::memory_order_relaxed);
  if (this->openConnections.fetch_add(1, std::memory_order_acq_rel) < limit) {
    return true;
  }
  this->ConnectionClosed();
  return false;
}

void
MinionState::ConnectionClosed()
{
  this->openConnections.fetch_sub(1, std::memory_order_acq_rel);
}

std::int32_t
MinionState::OpenConnections() const
{
  return this->openConnections.load(std::memory_order_relaxed);
}

void
MinionState::SetConnectionShare(std::int32_t aShare)
{
  this->connectionShare.store(aShare, std::memory_order_relaxed);
}

std::optional<std::chrono::microseconds>
MinionState::Latency(Instant aNow) const
{
  const std::int64_t smoothed = this->latencyUs.load(std::memory_order_relaxed);
  const Instant answeredAt(
    Clock::duration(this->lastAnswer.load(std::memory_order_relaxed)));
  if (smoothed == 0 || aNow - answeredAt > kLatencyValidity) {
    return std::nullopt;
  }
  return std::chrono::microseconds(smoothed);
}

void
MinionState::RecordAnswer(std::chrono::microseconds aLatency, Instant aNow)
{
  // Concurrent answers may overwrite each other's sample. The latency only
  // ranks minions, so a lost sample costs less than a compare-exchange loop.
  const std::int64_t sample = std::max<std::int64_t>(aLatency.count(), 1);
  const bool isFresh = this->Latency(aNow).has_value();
  const std::int64_t old = this->latencyUs.load(std::memory_order_relaxed);
  const std::int64_t next =
    isFresh ? old + (sample - old) / kLatencyWeight : sample;
  this->latencyUs.store(std::max<std::int64_t>(next, 1),
                        std::memory_order_relaxed);
  this->lastAnswer.store(aNow.time_since_epoch().count(),
                         std::memory_order_relaxed);
  this->failuresInRow.store(0, std::memory_order_relaxed);
  this->ejectedUntil.store(0, std::memory_order_relaxed);
}

void
MinionState::RecordFailure(Instant aNow)
{
  const std::int32_t failures =
    this->failuresInRow.fetch_add(1, std::memory_order_relaxed) + 1;
  if (failures < kFailuresToEject) {
    return;
  }
  const std::int32_t doublings =
    std::min(failures - kFailuresToEject, kMaxDoublings);
  const Instant until = aNow + kFirstEjection * (1 << doublings);
  this->ejectedUntil.store(until.time_since_epoch().count(),
                           std::memory_order_relaxed);
}

bool
MinionState::Ejected(Instant aNow) const
{
  return aNow.time_since_epoch().count() <
         this->ejectedUntil.load(std::memory_order_relaxed);
}

void
MinionState::MarkLeaving(LeavingSource aSource)
{
  this->leavingSources.fetch_or(static_cast<std::uint8_t>(aSource),
                                std::memory_order_relaxed);
}

void
MinionState::ClearLeaving(LeavingSource aSource)
{
  const auto others = ~static_cast<unsigned>(aSource);
  this->leavingSources.fetch_and(static_cast<std::uint8_t>(others),
                                 std::memory_order_relaxed);
}

bool
MinionState::Leaving() const
{
  return this->leavingSources.load(std::memory_order_relaxed) != 0;
}

bool
MinionState::Leaving(LeavingSource aSource) const
{
  return (this->leavingSources.load(std::memory_order_relaxed) &
          static_cast<std::uint8_t>(aSource)) != 0;
}

}
