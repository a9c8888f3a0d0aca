#include "tool/status_verbs.h"

#include "codecs/fleet_yaml.h"
#include "codecs/settings_json.h"
#include "codecs/status_json.h"
#include "contracts/host_report.h"
#include "contracts/settings_text.h"
#include "core/reason.h"
#include "tool/common_options.h"
#include "tool/daemon_client.h"
#include "tool/printing.h"
#include "tool/verb_arguments.h"
#include "zones/fleet.h"

#include <algorithm>
#include <iostream>

namespace sardinecourse {

namespace {

constexpr const char* kHelp = "status";

std::optional<HostStatus>
FetchStatus(const std::vector<Endpoint>& aDaemons, Reason& aReason)
{
  DaemonClient client(aDaemons);
  const std::optional<HttpAnswer> answer = client.Get("/status", aReason);
  return answer ? DecodeHostStatus(answer->body, aReason) : std::nullopt;
}

/** Entry hosts in the settings in force; none while no settings were accepted
 * yet (revision 0). Empty, with a reason, when they cannot be fetched. */
std::optional<std::vector<EntryHost>>
FetchHosts(const std::vector<Endpoint>& aDaemons, Reason& aReason)
{
  DaemonClient client(aDaemons);
  const std::optional<HttpAnswer> answer = client.Get("/settings", aReason);
  const std::optional<SettingsText> settings =
    answer ? DecodeSettingsText(answer->body, aReason) : std::nullopt;
  if (!settings) {
    return std::nullopt;
  }
  std::vector<EntryHost> hosts;
  if (settings->revision == 0) {
    return hosts;
  }
  const std::optional<Fleet> fleet =
    DecodeFleet(settings->yaml, "settings", settings->revision, aReason);
  if (!fleet) {
    return std::nullopt;
  }
  for (const DataCentre& dataCentre : fleet->DataCentres()) {
    const std::vector<EntryHost>& hostsHere = dataCentre.EntryHosts();
    hosts.insert(hosts.end(), hostsHere.begin(), hostsHere.end());
  }
  return hosts;
}

void
PrintReport(const HostReport& aReport)
{
  std::cout << aReport.host.Text() << ' ' << aReport.callers.Text();
  if (!aReport.status) {
    std::cout << " no answer\n";
    return;
  }
  const HostStatus& status = *aReport.status;
  std::cout << " data_centre=" << status.dataCentre.Text()
            << " revision=" << status.revision << " platform="
            << (status.platformReachable ? "reachable" : "unreachable")
            << " uptime_s=" << status.uptime.count()
            << " version=" << status.version << '\n';
}

/** True when every host answered and all have the same revision in force. */
bool
IsSameRevision(const std::vector<HostReport>& aReports)
{
  return std::all_of(
    aReports.begin(), aReports.end(), [&aReports](const HostReport& aReport) {
      const std::optional<HostStatus>& first = aReports.front().status;
      return aReport.status && first &&
             aReport.status->revision == first->revision;
    });
}

}

ExitCode
RunStatusVerbs(int aCount, const char** aArguments)
{
  CommonOptions common;
  const poptOption table[] = { { nullptr,
                                 0,
                                 POPT_ARG_INCLUDE_TABLE,
                                 const_cast<poptOption*>(common.Table()),
                                 0,
                                 "Options of all verbs",
                                 nullptr },
                               POPT_AUTOHELP POPT_TABLEEND };
  const auto arguments = ParseVerb(aCount, aArguments, table, kHelp);
  if (!arguments || arguments->size() != 1) {
    std::cerr << "usage: sardinecourse " << kHelp << '\n';
    return ExitCode::kUsage;
  }
  Reason reason;
  const auto daemons = common.Daemons(reason);
  if (!daemons) {
    return PrintFailure(common, "usage", reason, ExitCode::kUsage);
  }
  const std::optional<HostStatus> daemonStatus = FetchStatus(*daemons, reason);
  const auto hosts = FetchHosts(*daemons, reason);
  if (!daemonStatus || !hosts) {
    return PrintFailure(common, "unavailable", reason, ExitCode::kUnavailable);
  }
  std::vector<HostReport> reports;
  if (hosts->empty()) {
    reports.push_back({ daemonStatus->host, daemons->front(), daemonStatus });
  }
  for (const EntryHost& host : *hosts) {
    reports.push_back(
      { host.Name(), host.Callers(), FetchStatus({ host.Callers() }, reason) });
  }
  if (common.IsJson()) {
    std::cout << EncodeHostReports(reports) << '\n';
  } else {
    std::for_each(reports.begin(), reports.end(), PrintReport);
  }
  return IsSameRevision(reports) ? ExitCode::kOk : ExitCode::kRefused;
}

}
