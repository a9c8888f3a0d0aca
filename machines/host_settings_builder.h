#pragma once

#include "machines/host_settings.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a HostSettings. Build() returns nullopt and sets aReason when the
 * number of threads is below one or the grace time is not positive. */
class HostSettingsBuilder
{
public:
  HostSettingsBuilder& Host(EntryHost aHost);
  HostSettingsBuilder& Platform(std::vector<Endpoint> aPlatform);
  HostSettingsBuilder& Peers(std::vector<Endpoint> aPeers);
  HostSettingsBuilder& Threads(std::int32_t aThreads);
  HostSettingsBuilder& GraceTime(Milliseconds aGraceTime);
  HostSettingsBuilder& LogLevel(std::string aLogLevel);
  HostSettingsBuilder& LogFile(std::string aLogFile);
  HostSettingsBuilder& Limits(CallerLimits aLimits);
  std::optional<HostSettings> Build(Reason& aReason) const;

private:
  HostSettings value;
};

}
