#include "machines/host_settings_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

HostSettingsBuilder&
HostSettingsBuilder::Host(EntryHost aHost)
{
  this->value.host = std::move(aHost);
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::Platform(std::vector<Endpoint> aPlatform)
{
  this->value.platform = std::move(aPlatform);
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::Peers(std::vector<Endpoint> aPeers)
{
  this->value.peers = std::move(aPeers);
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::Threads(std::int32_t aThreads)
{
  this->value.threads = aThreads;
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::GraceTime(Milliseconds aGraceTime)
{
  this->value.graceTime = aGraceTime;
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::LogLevel(std::string aLogLevel)
{
  this->value.logLevel = std::move(aLogLevel);
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::LogFile(std::string aLogFile)
{
  this->value.logFile = std::move(aLogFile);
  return *this;
}

HostSettingsBuilder&
HostSettingsBuilder::Limits(CallerLimits aLimits)
{
  this->value.limits = aLimits;
  return *this;
}

std::optional<HostSettings>
HostSettingsBuilder::Build(Reason& aReason) const
{
  if (this->value.threads < 1) {
    aReason = Reason(Step::kSettings,
                     this->value.host.Name().Text(),
                     "at least one thread must serve requests");
    return std::nullopt;
  }
  if (this->value.graceTime <= Milliseconds(0)) {
    aReason = Reason(Step::kSettings,
                     this->value.host.Name().Text(),
                     "a host needs a grace time");
    return std::nullopt;
  }
  return this->value;
}

}
