#include "contracts/domain_timing_builder.h"

#include "core/reason.h"

#include <string>
#include <utility>

namespace sardinecourse {

DomainTimingBuilder&
DomainTimingBuilder::HolderLease(Milliseconds aHolderLease)
{
  this->value.holderLease = aHolderLease;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::WorkerLease(Milliseconds aWorkerLease)
{
  this->value.workerLease = aWorkerLease;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::RestartTime(Milliseconds aRestartTime)
{
  this->value.restartTime = aRestartTime;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::StopTime(Milliseconds aStopTime)
{
  this->value.stopTime = aStopTime;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::ReclaimTime(Milliseconds aReclaimTime)
{
  this->value.reclaimTime = aReclaimTime;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::RevokeTime(Milliseconds aRevokeTime)
{
  this->value.revokeTime = aRevokeTime;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::EvacuateTime(std::optional<Milliseconds> aEvacuateTime)
{
  this->value.evacuateTime = aEvacuateTime;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::FinalJobRetention(Milliseconds aFinalJobRetention)
{
  this->value.finalJobRetention = aFinalJobRetention;
  return *this;
}

DomainTimingBuilder&
DomainTimingBuilder::RemoteSlowdown(double aRemoteSlowdown)
{
  this->value.remoteSlowdown = aRemoteSlowdown;
  return *this;
}

std::optional<DomainTiming>
DomainTimingBuilder::Build(Reason& aReason) const
{
  if (this->value.holderLease.count() <= 0 ||
      this->value.workerLease.count() <= 0 ||
      this->value.restartTime.count() <= 0 ||
      this->value.reclaimTime.count() <= 0 ||
      this->value.revokeTime.count() <= 0) {
    aReason =
      Reason(Step::kSettings,
             "",
             "leases, restart, reclaim and revoke time must be positive");
    return std::nullopt;
  }
  if (this->value.evacuateTime &&
      *this->value.evacuateTime < kMinEvacuateTime) {
    aReason = Reason(Step::kSettings,
                     "",
                     "the evacuate time must be at least " +
                       std::to_string(kMinEvacuateTime.count()) + " ms");
    return std::nullopt;
  }
  return this->value;
}

}
