#include "machines/minion_slot.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::chrono::seconds kLatencyValidity{ 10 };
constexpr std::int64_t kLatencyWeight = 8;
constexpr std::int32_t kFailuresToEject = 5;
constexpr std::chrono::seconds kFirstEjection{ 1 };
constexpr std::int32_t kMostDoublings = 5;

}

MinionSlot::MinionSlot(Minion aMinion)
  : share(aMinion.Slots())
  , connectionShare(aMinion.Connections())
  , minion(std::move(aMinion))
{
}

std::int32_t
MinionSlot::InFlight() const
{
  return this->inFlight.load(std::memory_order_relaxed);
}

std::int32_t
MinionSlot::Share() const
{
  return this->share.load(std::memory_order_relaxed);
}

void
MinionSlot::SetShare(std::int32_t aShare)
{
  this->share.store(aShare, std::memory_order_relaxed);
}

bool
MinionSlot::TryAcquire()
{
  if (this->inFlight.fetch_add(1, std::memory_order_acq_rel) < this->Share()) {
    return true;
  }
  this->Release();
  return false;
}

void
MinionSlot::Release()
{
  this->inFlight.fetch_sub(1, std::memory_order_acq_rel);
}

bool
MinionSlot::TryOpenConnection()
{
  const std::int32_t most =
    this->connectionShare.load(std::memory_order_relaxed);
  if (this->openConnections.fetch_add(1, std::memory_order_acq_rel) < most) {
    return true;
  }
  this->ConnectionClosed();
  return false;
}

void
MinionSlot::ConnectionClosed()
{
  this->openConnections.fetch_sub(1, std::memory_order_acq_rel);
}

std::int32_t
MinionSlot::OpenConnections() const
{
  return this->openConnections.load(std::memory_order_relaxed);
}

void
MinionSlot::SetConnectionShare(std::int32_t aShare)
{
  this->connectionShare.store(aShare, std::memory_order_relaxed);
}

std::optional<std::chrono::microseconds>
MinionSlot::Latency(Instant aNow) const
{
  const std::int64_t known = this->latencyUs.load(std::memory_order_relaxed);
  const Instant seen(
    Clock::duration(this->lastAnswer.load(std::memory_order_relaxed)));
  if (known == 0 || aNow - seen > kLatencyValidity) {
    return std::nullopt;
  }
  return std::chrono::microseconds(known);
}

void
MinionSlot::RecordAnswer(std::chrono::microseconds aLatency, Instant aNow)
{
  // Concurrent answers may overwrite each other's sample: the figure only ranks
  // minions, and losing a sample costs less than a retried exchange.
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
MinionSlot::RecordFailure(Instant aNow)
{
  const std::int32_t failures =
    this->failuresInRow.fetch_add(1, std::memory_order_relaxed) + 1;
  if (failures < kFailuresToEject) {
    return;
  }
  const std::int32_t doublings =
    std::min(failures - kFailuresToEject, kMostDoublings);
  const Instant until = aNow + kFirstEjection * (1 << doublings);
  this->ejectedUntil.store(until.time_since_epoch().count(),
                           std::memory_order_relaxed);
}

bool
MinionSlot::Ejected(Instant aNow) const
{
  return aNow.time_since_epoch().count() <
         this->ejectedUntil.load(std::memory_order_relaxed);
}

void
MinionSlot::MarkLeaving(LeavingSign aSign)
{
  this->leavingSigns.fetch_or(static_cast<std::uint8_t>(aSign),
                              std::memory_order_relaxed);
}

void
MinionSlot::ClearLeaving(LeavingSign aSign)
{
  const auto others = ~static_cast<unsigned>(aSign);
  this->leavingSigns.fetch_and(static_cast<std::uint8_t>(others),
                               std::memory_order_relaxed);
}

bool
MinionSlot::Leaving() const
{
  return this->leavingSigns.load(std::memory_order_relaxed) != 0;
}

bool
MinionSlot::Leaving(LeavingSign aSign) const
{
  return (this->leavingSigns.load(std::memory_order_relaxed) &
          static_cast<std::uint8_t>(aSign)) != 0;
}

}
