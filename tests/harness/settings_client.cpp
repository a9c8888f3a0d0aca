#include "tests/harness/settings_client.h"

#include "codecs/settings_json.h"
#include "codecs/status_json.h"
#include "contracts/host_status.h"
#include "tests/harness/http_client.h"
#include "tests/harness/wait.h"

namespace sardinecourse::harness {

std::optional<SettingsAnswer>
ProposeSettings(const Endpoint& aDaemon,
                const SettingsProposal& aProposal,
                Milliseconds aTimeout)
{
  HttpClient client(aDaemon);
  const auto answer =
    client.Post("/settings", EncodeSettingsProposal(aProposal), aTimeout);
  Reason reason;
  return answer ? DecodeSettingsAnswer(answer->body, reason) : std::nullopt;
}

std::optional<std::int64_t>
RevisionInForce(const Endpoint& aDaemon, Milliseconds aTimeout)
{
  HttpClient client(aDaemon);
  const auto answer = client.Get("/status", aTimeout);
  Reason reason;
  const std::optional<HostStatus> status =
    answer ? DecodeHostStatus(answer->body, reason) : std::nullopt;
  return status ? std::optional(status->revision) : std::nullopt;
}

bool
PutFirstSettingsInForce(const Endpoint& aDaemon,
                        const std::string& aYaml,
                        Milliseconds aTimeout)
{
  const SettingsProposal proposal{
    std::nullopt, "test", "first", "fleet.yaml", aYaml
  };
  return WaitUntil(aTimeout, [&] {
    const auto answer = ProposeSettings(aDaemon, proposal, aTimeout);
    return answer && (answer->outcome == AcceptOutcome::kAccepted ||
                      answer->outcome == AcceptOutcome::kUnchanged);
  });
}

}
