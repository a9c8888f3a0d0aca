#include "tool/job_verbs.h"

#include "codecs/decisions_json.h"
#include "codecs/job_json.h"
#include "codecs/refusal.h"
#include "contracts/job_builder.h"
#include "contracts/job_record.h"
#include "contracts/shape_builder.h"
#include "core/instant.h"
#include "core/percent_encoding.h"
#include "core/reason.h"
#include "tool/common_options.h"
#include "tool/daemon_client.h"
#include "tool/log_verbs.h"
#include "tool/printing.h"
#include "tool/verb_arguments.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>

namespace sardinecourse {

namespace {

constexpr const char* kHelp =
  "job submit --team TEAM --key KEY ... | show TEAM KEY | list TEAM | "
  "wait TEAM KEY | cancel TEAM KEY";
constexpr const char* kExplainHelp =
  "explain TEAM KEY | explain --logs KEY [FILE ...]";
constexpr std::string_view kOutcomeField = "Sardinecourse-Outcome";
constexpr int kRedirect = 307;
constexpr int kFirstError = 300;
constexpr Milliseconds kStatePollInterval{ 500 };
constexpr int kDefaultMemoryMb = 1024;

/** Options of the job verbs, as popt stores them. */
struct JobOptions
{
  CommonOptions common;
  const char* team = "";
  const char* service = "";
  const char* key = "";
  int members = 1;
  int accelerators = 1;
  int cores = 1;
  int memoryMb = kDefaultMemoryMb;
  long long runTimeMs = 0;
  int isUrgent = 0;
};

std::string
JobTarget(const std::string& aTeam, const std::string& aKey)
{
  return "/jobs/" + PercentEncode(aTeam) + "/" + PercentEncode(aKey);
}

void
PrintRecord(const JobRecord& aRecord)
{
  const Job& job = aRecord.Request();
  std::cout << job.Team().Text() << ' ' << job.Key().Text()
            << " state=" << JobStateName(aRecord.State())
            << " data_centre=" << aRecord.DataCentre().Text()
            << " shape=" << job.GangShape().Members() << 'x'
            << job.GangShape().AcceleratorsPerMember()
            << " attempts=" << aRecord.Attempts();
  if (!aRecord.Detail().empty()) {
    std::cout << " detail=\"" << aRecord.Detail() << '"';
  }
  std::cout << '\n';
}

/** Exit code for an answer, by its outcome header and then its status. */
ExitCode
ExitCodeFor(const HttpAnswer& aAnswer)
{
  const std::string_view outcome = aAnswer.fields.Find(kOutcomeField);
  if (outcome == "not-known") {
    return ExitCode::kNotKnown;
  }
  return aAnswer.status < kFirstError ? ExitCode::kOk : ExitCode::kRefused;
}

/** Prints the job's record, or the body of any other answer. */
ExitCode
PrintAnswer(const JobOptions& aOptions, const HttpAnswer& aAnswer)
{
  const ExitCode code = ExitCodeFor(aAnswer);
  if (aOptions.common.IsJson()) {
    std::cout << aAnswer.body << '\n';
    return code;
  }
  Reason reason;
  const std::optional<JobRecord> record = DecodeJobRecord(aAnswer.body, reason);
  if (code == ExitCode::kOk && record) {
    PrintRecord(*record);
    return code;
  }
  std::cerr << aAnswer.body << '\n';
  return code;
}

ExitCode
Submit(const JobOptions& aOptions, DaemonClient& aClient)
{
  Reason reason;
  const std::optional<Shape> shape =
    ShapeBuilder()
      .Members(aOptions.members)
      .AcceleratorsPerMember(aOptions.accelerators)
      .Build(reason);
  if (!shape) {
    return PrintFailure(aOptions.common, "invalid", reason, ExitCode::kUsage);
  }
  JobBuilder builder;
  builder.Team(TeamName(aOptions.team))
    .Service(ServiceName(aOptions.service))
    .Key(JobKey(aOptions.key))
    .GangShape(*shape)
    .CoresPerMember(aOptions.cores)
    .MemoryPerMember(aOptions.memoryMb)
    .DeclaredRunTime(Milliseconds(aOptions.runTimeMs))
    .Urgent(aOptions.isUrgent != 0);
  const std::optional<Job> job = builder.Build(reason);
  if (!job) {
    return PrintFailure(aOptions.common, "invalid", reason, ExitCode::kUsage);
  }
  const std::optional<HttpAnswer> answer =
    aClient.Post("/jobs", EncodeJob(*job), reason);
  return answer ? PrintAnswer(aOptions, *answer)
                : PrintNoAnswer(aOptions.common, aClient.Progress(), reason);
}

ExitCode
ShowOne(const JobOptions& aOptions,
        DaemonClient& aClient,
        const std::string& aTarget)
{
  Reason reason;
  const std::optional<HttpAnswer> answer = aClient.Get(aTarget, reason);
  return answer
           ? PrintAnswer(aOptions, *answer)
           : PrintNoAnswer(aOptions.common, ExchangeProgress::kNotSent, reason);
}

ExitCode
Cancel(const JobOptions& aOptions,
       DaemonClient& aClient,
       const std::string& aTarget)
{
  Reason reason;
  const std::optional<HttpAnswer> answer = aClient.Delete(aTarget, reason);
  return answer ? PrintAnswer(aOptions, *answer)
                : PrintNoAnswer(aOptions.common, aClient.Progress(), reason);
}

ExitCode
List(const JobOptions& aOptions,
     DaemonClient& aClient,
     const std::string& aTeam)
{
  Reason reason;
  const std::optional<HttpAnswer> answer =
    aClient.Get("/jobs?team=" + PercentEncode(aTeam), reason);
  if (!answer) {
    return PrintNoAnswer(aOptions.common, ExchangeProgress::kNotSent, reason);
  }
  const std::optional<std::vector<JobRecord>> records =
    DecodeJobRecords(answer->body, reason);
  if (aOptions.common.IsJson() || !records) {
    return PrintAnswer(aOptions, *answer);
  }
  for (const JobRecord& record : *records) {
    PrintRecord(record);
  }
  return ExitCodeFor(*answer);
}

void
SleepFor(Milliseconds aTime)
{
  boost::asio::io_context context(1);
  boost::asio::steady_timer timer(context, aTime);
  timer.async_wait([](const boost::system::error_code&) {});
  context.run();
}

/** Polls until the job has ended. A poll without an answer does not end the
 * wait, because a later one may be answered. */
ExitCode
Wait(const JobOptions& aOptions,
     DaemonClient& aClient,
     const std::string& aTarget)
{
  while (true) {
    Reason reason;
    const std::optional<HttpAnswer> answer = aClient.Get(aTarget, reason);
    const std::optional<JobRecord> record =
      answer ? DecodeJobRecord(answer->body, reason) : std::nullopt;
    if (record && IsFinal(record->State())) {
      PrintAnswer(aOptions, *answer);
      return record->State() == JobState::kFinished ? ExitCode::kOk
                                                    : ExitCode::kRefused;
    }
    if (answer && !record) {
      return PrintAnswer(aOptions, *answer);
    }
    SleepFor(kStatePollInterval);
  }
}

ExitCode
RunOnDaemon(const JobOptions& aOptions,
            const std::vector<std::string>& aArguments)
{
  Reason reason;
  const auto daemons = aOptions.common.Daemons(reason);
  if (!daemons) {
    return PrintFailure(aOptions.common, "usage", reason, ExitCode::kUsage);
  }
  DaemonClient client(*daemons);
  const std::string& verb = aArguments[1];
  if (verb == "submit" && aArguments.size() == 2) {
    return Submit(aOptions, client);
  }
  if (verb == "list" && aArguments.size() == 3) {
    return List(aOptions, client, aArguments[2]);
  }
  if (aArguments.size() == 4) {
    const std::string target = JobTarget(aArguments[2], aArguments[3]);
    if (verb == "show") {
      return ShowOne(aOptions, client, target);
    }
    if (verb == "wait") {
      return Wait(aOptions, client, target);
    }
    if (verb == "cancel") {
      return Cancel(aOptions, client, target);
    }
  }
  std::cerr << "usage: sardinecourse " << kHelp << '\n';
  return ExitCode::kUsage;
}

poptOption
CommonOptionsEntry(const CommonOptions& aOptions)
{
  return { nullptr,
           0,
           POPT_ARG_INCLUDE_TABLE,
           const_cast<poptOption*>(aOptions.Table()),
           0,
           "Options of all verbs",
           nullptr };
}

/** Address in the Location header "http://IP:PORT/..." of a redirect; empty,
 * with a reason, if it is invalid. */
std::optional<Endpoint>
RedirectTarget(const HttpAnswer& aAnswer, Reason& aReason)
{
  constexpr std::string_view kScheme = "http://";
  std::string_view location = aAnswer.fields.Find("Location");
  if (!location.starts_with(kScheme)) {
    aReason =
      Reason(Step::kDecode,
             "",
             "the Location header of the redirect has no http:// address");
    return std::nullopt;
  }
  location.remove_prefix(kScheme.size());
  return Endpoint::Parse(location.substr(0, location.find('/')), aReason);
}

/** Sends a GET to a daemon and follows one redirect, to the holder. */
std::optional<HttpAnswer>
GetFromHolder(const std::vector<Endpoint>& aDaemons,
              const std::string& aTarget,
              Reason& aReason)
{
  DaemonClient client(aDaemons);
  std::optional<HttpAnswer> answer = client.Get(aTarget, aReason);
  if (!answer || answer->status != kRedirect) {
    return answer;
  }
  const std::optional<Endpoint> holder = RedirectTarget(*answer, aReason);
  if (!holder) {
    return std::nullopt;
  }
  DaemonClient next({ *holder });
  return next.Get(aTarget, aReason);
}

}

ExitCode
RunJobVerbs(int aCount, const char** aArguments)
{
  JobOptions options;
  const poptOption table[] = {
    CommonOptionsEntry(options.common),
    { "team", 0, POPT_ARG_STRING, &options.team, 0, "submit: team", "NAME" },
    { "service",
      0,
      POPT_ARG_STRING,
      &options.service,
      0,
      "submit: service that the job belongs to",
      "NAME" },
    { "key",
      0,
      POPT_ARG_STRING,
      &options.key,
      0,
      "submit: idempotency key of the job",
      "KEY" },
    { "members",
      0,
      POPT_ARG_INT,
      &options.members,
      0,
      "submit: number of gang members",
      "N" },
    { "accelerators",
      0,
      POPT_ARG_INT,
      &options.accelerators,
      0,
      "submit: accelerators of each member",
      "N" },
    { "cores",
      0,
      POPT_ARG_INT,
      &options.cores,
      0,
      "submit: cores of each member",
      "N" },
    { "memory-mb",
      0,
      POPT_ARG_INT,
      &options.memoryMb,
      0,
      "submit: memory of each member in MB",
      "MB" },
    { "run-time-ms",
      0,
      POPT_ARG_LONGLONG,
      &options.runTimeMs,
      0,
      "submit: declared run time in ms",
      "MS" },
    { "urgent",
      0,
      POPT_ARG_NONE,
      &options.isUrgent,
      0,
      "submit: scheduled before work that is not urgent",
      nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const auto arguments = ParseVerb(aCount, aArguments, table, kHelp);
  if (!arguments || arguments->size() < 2) {
    std::cerr << "usage: sardinecourse " << kHelp << '\n';
    return ExitCode::kUsage;
  }
  return RunOnDaemon(options, *arguments);
}

ExitCode
RunExplainVerb(int aCount, const char** aArguments)
{
  CommonOptions common;
  int fromLogs = 0;
  const poptOption table[] = { { "logs",
                                 0,
                                 POPT_ARG_NONE,
                                 &fromLogs,
                                 0,
                                 "Read log files of the hosts of a domain",
                                 nullptr },
                               CommonOptionsEntry(common),
                               POPT_AUTOHELP POPT_TABLEEND };
  const auto arguments = ParseVerb(aCount, aArguments, table, kExplainHelp);
  if (arguments && fromLogs != 0 && arguments->size() > 1) {
    return ExplainFromLogs(
      common, (*arguments)[1], { arguments->begin() + 2, arguments->end() });
  }
  if (!arguments || arguments->size() != 3) {
    std::cerr << "usage: sardinecourse " << kExplainHelp << '\n';
    return ExitCode::kUsage;
  }
  Reason reason;
  const auto daemons = common.Daemons(reason);
  if (!daemons) {
    return PrintFailure(common, "usage", reason, ExitCode::kUsage);
  }
  const std::string target =
    JobTarget((*arguments)[1], (*arguments)[2]) + "/decisions";
  const std::optional<HttpAnswer> answer =
    GetFromHolder(*daemons, target, reason);
  if (!answer) {
    return PrintFailure(common, "unavailable", reason, ExitCode::kUnavailable);
  }
  const auto decisions = DecodeDecisions(answer->body, reason);
  if (common.IsJson() || !decisions) {
    std::cout << answer->body << '\n';
    return ExitCodeFor(*answer);
  }
  for (const std::string& decision : *decisions) {
    std::cout << decision << '\n';
  }
  return ExitCode::kOk;
}

}
