#pragma once

#include "machines/host_settings.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a HostSettings; Build() is empty, with the reason, when a field is
 * missing or out of range. */
class HostSettingsBuilder
{
public:
  HostSettingsBuilder& Host(EntryHost aHost);
  HostSettingsBuilder& Platform(std::vector<Endpoint> aPlatform);
  HostSettingsBuilder& Peers(std::vector<Endpoint> aPeers);
  HostSettingsBuilder& Threads(std::int32_t aThreads);
  HostSettingsBuilder& LogLevel(std::string aLogLevel);
  HostSettingsBuilder& LogFile(std::string aLogFile);
  std::optional<HostSettings> Build(Reason& aReason) const;

private:
  HostSettings value;
};

}
