#include "codecs/status_json.h"

#include "contracts/host_report.h"
#include "contracts/host_status.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

using nlohmann::json;

namespace {

json
ToJson(const HostStatus& aStatus)
{
  json peers = json::array();
  for (const PeerReport& peer : aStatus.peers) {
    peers.push_back({ { "host", peer.host.Text() },
                      { "data_centre", peer.dataCentre.Text() },
                      { "state", peer.state },
                      { "revision", peer.revision } });
  }
  return { { "host", aStatus.host.Text() },
           { "data_centre", aStatus.dataCentre.Text() },
           { "version", aStatus.version },
           { "revision", aStatus.revision },
           { "platform_reachable", aStatus.platformReachable },
           { "platform_reads", aStatus.platformReads },
           { "platform_writes", aStatus.platformWrites },
           { "uptime_s", aStatus.uptime.count() },
           { "peers", std::move(peers) } };
}

}

std::string
EncodeHostStatus(const HostStatus& aStatus)
{
  return ToJson(aStatus).dump();
}

std::string
EncodeHostReports(const std::vector<HostReport>& aReports)
{
  json hosts = json::array();
  for (const HostReport& report : aReports) {
    json entry{ { "host", report.host.Text() },
                { "callers", report.callers.Text() },
                { "answers", report.status.has_value() } };
    if (report.status) {
      entry["status"] = ToJson(*report.status);
    }
    hosts.push_back(std::move(entry));
  }
  return json{ { "hosts", std::move(hosts) } }.dump();
}

std::optional<HostStatus>
DecodeHostStatus(const std::string& aText, Reason& aReason)
{
  // The library throws when a field is missing or of another type.
  try {
    const json message = json::parse(aText);
    HostStatus status;
    status.host = HostName(message.at("host").get<std::string>());
    status.dataCentre =
      DataCentreName(message.at("data_centre").get<std::string>());
    status.version = message.at("version").get<std::string>();
    status.revision = message.at("revision").get<std::int64_t>();
    status.platformReachable = message.at("platform_reachable").get<bool>();
    status.platformReads = message.at("platform_reads").get<std::uint64_t>();
    status.platformWrites = message.at("platform_writes").get<std::uint64_t>();
    status.uptime =
      std::chrono::seconds(message.at("uptime_s").get<std::int64_t>());
    for (const json& peer : message.at("peers")) {
      status.peers.push_back(
        { HostName(peer.at("host").get<std::string>()),
          DataCentreName(peer.at("data_centre").get<std::string>()),
          peer.at("state").get<std::string>(),
          peer.at("revision").get<std::int64_t>() });
    }
    return status;
  } catch (const json::exception& error) {
    aReason = Reason(Step::kDecode, "", error.what());
    return std::nullopt;
  }
}

}
