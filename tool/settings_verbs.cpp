#include "tool/settings_verbs.h"

#include "codecs/fleet_yaml.h"
#include "codecs/settings_json.h"
#include "codecs/yaml_document.h"
#include "codecs/yaml_paths.h"
#include "contracts/settings_answer.h"
#include "contracts/settings_proposal.h"
#include "contracts/settings_text.h"
#include "core/percent_encoding.h"
#include "tool/common_options.h"
#include "tool/daemon_client.h"
#include "tool/printing.h"
#include "tool/verb_arguments.h"
#include "zones/fleet.h"
#include "zones/settings_checks.h"

#include <cstdlib>
#include <iostream>

namespace sardinecourse {

namespace {

constexpr const char* kHelp =
  "settings check FILE | diff FILE | apply FILE | show | history";
constexpr int kStatusOk = 200;

/** Options of the settings verbs, as popt stores them. */
struct SettingsOptions
{
  CommonOptions common;
  long long expectedRevision = -1;
  const char* note = "";
  const char* who = nullptr;
  int isOrigin = 0;
  const char* dataCentre = "";
  const char* team = "";
  const char* service = "";
};

std::string
Who(const SettingsOptions& aOptions)
{
  const char* user = std::getenv("USER");
  const char* who = aOptions.who != nullptr ? aOptions.who : user;
  return who != nullptr ? who : "unknown";
}

/** Text of a settings file; empty, with a reason, if it cannot be read, is
 * invalid, or has guarantees that do not fit. */
std::optional<std::string>
ReadSettings(const std::string& aPath, Reason& aReason)
{
  std::optional<std::string> text = ReadTextFile(aPath, aReason);
  if (!text) {
    return std::nullopt;
  }
  const std::optional<Fleet> fleet = DecodeFleet(*text, aPath, 0, aReason);
  if (!fleet || !GuaranteesFitEverywhere(*fleet, aReason)) {
    return std::nullopt;
  }
  return text;
}

ExitCode
Check(const SettingsOptions& aOptions, const std::string& aPath)
{
  Reason reason;
  if (!ReadSettings(aPath, reason)) {
    return PrintFailure(
      aOptions.common, "invalid", reason, ExitCode::kBadSettings);
  }
  PrintOutcome(aOptions.common, "valid", aPath + ": ok");
  return ExitCode::kOk;
}

std::optional<SettingsText>
FetchSettingsInForce(DaemonClient& aClient, Reason& aReason)
{
  const std::optional<HttpAnswer> answer = aClient.Get("/settings", aReason);
  return answer ? DecodeSettingsText(answer->body, aReason) : std::nullopt;
}

ExitCode
Diff(const SettingsOptions& aOptions,
     DaemonClient& aClient,
     const std::string& aPath)
{
  Reason reason;
  const std::optional<std::string> text = ReadSettings(aPath, reason);
  if (!text) {
    return PrintFailure(
      aOptions.common, "invalid", reason, ExitCode::kBadSettings);
  }
  const std::optional<SettingsText> inForce =
    FetchSettingsInForce(aClient, reason);
  if (!inForce) {
    return PrintFailure(
      aOptions.common, "unavailable", reason, ExitCode::kUnavailable);
  }
  const auto before = YamlPaths(inForce->yaml, "settings in force", reason);
  const auto after = YamlPaths(*text, aPath, reason);
  if (!before || !after) {
    return PrintFailure(
      aOptions.common, "invalid", reason, ExitCode::kBadSettings);
  }
  const std::vector<PathChange> changes = ComparePaths(*before, *after);
  PrintChanges(aOptions.common, inForce->revision, changes);
  return changes.empty() ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode
ExitCodeFor(AcceptOutcome aOutcome)
{
  switch (aOutcome) {
    case AcceptOutcome::kAccepted:
    case AcceptOutcome::kUnchanged:
      return ExitCode::kOk;
    case AcceptOutcome::kConflict:
      return ExitCode::kRefused;
    case AcceptOutcome::kInvalid:
      return ExitCode::kBadSettings;
    case AcceptOutcome::kUnreachable:
      return ExitCode::kUnavailable;
    case AcceptOutcome::kNotKnown:
      break;
  }
  return ExitCode::kNotKnown;
}

ExitCode
Apply(const SettingsOptions& aOptions,
      DaemonClient& aClient,
      const std::string& aPath)
{
  Reason reason;
  const std::optional<std::string> text = ReadSettings(aPath, reason);
  if (!text) {
    return PrintFailure(
      aOptions.common, "invalid", reason, ExitCode::kBadSettings);
  }
  SettingsProposal proposal;
  if (aOptions.expectedRevision >= 0) {
    proposal.expectedRevision = aOptions.expectedRevision;
  }
  proposal.who = Who(aOptions);
  proposal.note = aOptions.note;
  proposal.file = aPath;
  proposal.yaml = *text;
  const std::optional<HttpAnswer> answer =
    aClient.Post("/settings", EncodeSettingsProposal(proposal), reason);
  if (!answer) {
    return PrintNoAnswer(aOptions.common, aClient.Progress(), reason);
  }
  const std::optional<SettingsAnswer> decoded =
    DecodeSettingsAnswer(answer->body, reason);
  if (!decoded) {
    return PrintFailure(
      aOptions.common, "not-known", reason, ExitCode::kNotKnown);
  }
  PrintSettingsAnswer(aOptions.common, *decoded, answer->body);
  return ExitCodeFor(decoded->outcome);
}

/** Prints the daemon's answer to a GET, with aPrint unless --json is given. */
template<typename Print>
ExitCode
Show(const SettingsOptions& aOptions,
     DaemonClient& aClient,
     const std::string& aTarget,
     Print aPrint)
{
  Reason reason;
  const std::optional<HttpAnswer> answer = aClient.Get(aTarget, reason);
  if (!answer) {
    return PrintNoAnswer(aOptions.common, ExchangeProgress::kNotSent, reason);
  }
  if (answer->status != kStatusOk) {
    std::cerr << answer->body << '\n';
    return ExitCode::kRefused;
  }
  if (aOptions.common.IsJson()) {
    std::cout << answer->body << '\n';
    return ExitCode::kOk;
  }
  return aPrint(answer->body, reason)
           ? ExitCode::kOk
           : PrintFailure(
               aOptions.common, "undecodable", reason, ExitCode::kRefused);
}

std::string
ShowTarget(const SettingsOptions& aOptions)
{
  if (aOptions.isOrigin == 0) {
    return "/settings";
  }
  return "/settings/origin?data_centre=" + PercentEncode(aOptions.dataCentre) +
         "&team=" + PercentEncode(aOptions.team) +
         "&service=" + PercentEncode(aOptions.service);
}

ExitCode
RunOnDaemon(const SettingsOptions& aOptions,
            const std::vector<std::string>& aArguments)
{
  Reason reason;
  const auto daemons = aOptions.common.Daemons(reason);
  if (!daemons) {
    return PrintFailure(aOptions.common, "usage", reason, ExitCode::kUsage);
  }
  DaemonClient client(*daemons);
  const std::string& verb = aArguments[1];
  const bool hasFile = aArguments.size() == 3;
  if (verb == "diff" && hasFile) {
    return Diff(aOptions, client, aArguments[2]);
  }
  if (verb == "apply" && hasFile) {
    return Apply(aOptions, client, aArguments[2]);
  }
  if (verb == "show" && !hasFile) {
    return Show(aOptions,
                client,
                ShowTarget(aOptions),
                aOptions.isOrigin != 0 ? PrintOrigins : PrintSettingsText);
  }
  if (verb == "history" && !hasFile) {
    return Show(aOptions, client, "/settings/history", PrintHistory);
  }
  std::cerr << "usage: sardinecourse " << kHelp << '\n';
  return ExitCode::kUsage;
}

}

ExitCode
RunSettingsVerbs(int aCount, const char** aArguments)
{
  SettingsOptions options;
  const poptOption table[] = {
    { nullptr,
      0,
      POPT_ARG_INCLUDE_TABLE,
      const_cast<poptOption*>(options.common.Table()),
      0,
      "Options of all verbs",
      nullptr },
    { "expect-revision",
      0,
      POPT_ARG_LONGLONG,
      &options.expectedRevision,
      0,
      "apply: revision that the file replaces",
      "N" },
    { "note",
      0,
      POPT_ARG_STRING,
      &options.note,
      0,
      "apply: reason for the change",
      "TEXT" },
    { "who",
      0,
      POPT_ARG_STRING,
      &options.who,
      0,
      "apply: author (default: $USER)",
      "NAME" },
    { "origin",
      0,
      POPT_ARG_NONE,
      &options.isOrigin,
      0,
      "show: each value in force and the level that sets it",
      nullptr },
    { "data-centre",
      0,
      POPT_ARG_STRING,
      &options.dataCentre,
      0,
      "show --origin: at this data centre",
      "NAME" },
    { "team",
      0,
      POPT_ARG_STRING,
      &options.team,
      0,
      "show --origin: at this team of the data centre",
      "NAME" },
    { "service",
      0,
      POPT_ARG_STRING,
      &options.service,
      0,
      "show --origin: at this service of the team",
      "NAME" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const auto arguments = ParseVerb(aCount, aArguments, table, kHelp);
  if (!arguments || arguments->size() < 2 || arguments->size() > 3) {
    std::cerr << "usage: sardinecourse " << kHelp << '\n';
    return ExitCode::kUsage;
  }
  if ((*arguments)[1] == "check" && arguments->size() == 3) {
    return Check(options, (*arguments)[2]);
  }
  return RunOnDaemon(options, *arguments);
}

}
