#include "codecs/job_json.h"

#include "codecs/json_fields.h"
#include "codecs/name_table.h"
#include "contracts/job_builder.h"
#include "contracts/job_record_builder.h"
#include "contracts/ownership_builder.h"
#include "contracts/shape_builder.h"
#include "core/reason.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

using nlohmann::json;

constexpr NameTable<JobState, 5> kStates{ { { JobState::kAdmitted, "admitted" },
                                            { JobState::kRunning, "running" },
                                            { JobState::kFinished, "finished" },
                                            { JobState::kFailed, "failed" },
                                            { JobState::kCancelled,
                                              "cancelled" } } };

constexpr std::array<std::string_view, 9> kJobKeys{
  "team",  "service",   "key",         "members", "accelerators",
  "cores", "memory_mb", "run_time_ms", "urgent"
};

json
JobObject(const Job& aJob)
{
  return { { "team", aJob.Team().Text() },
           { "service", aJob.Service().Text() },
           { "key", aJob.Key().Text() },
           { "members", aJob.GangShape().Members() },
           { "accelerators", aJob.GangShape().AcceleratorsPerMember() },
           { "cores", aJob.CoresPerMember() },
           { "memory_mb", aJob.MemoryPerMember() },
           { "run_time_ms", aJob.DeclaredRunTime().count() },
           { "urgent", aJob.Urgent() } };
}

/** Rejects unknown keys: a misspelt key would otherwise silently get its
 * default. */
bool
HasOnlyKnownKeys(const json& aObject, Reason& aReason)
{
  for (const auto& entry : aObject.items()) {
    if (std::find(kJobKeys.begin(), kJobKeys.end(), entry.key()) ==
        kJobKeys.end()) {
      aReason =
        Reason(Step::kDecode, "", "a job has no key '" + entry.key() + "'");
      return false;
    }
  }
  return true;
}

std::optional<Job>
ReadJob(const json& aObject, Reason& aReason)
{
  const auto shape =
    ShapeBuilder()
      .Members(SmallIntegerField(aObject, "members", 1))
      .AcceleratorsPerMember(SmallIntegerField(aObject, "accelerators", 1))
      .Build(aReason);
  if (!shape) {
    return std::nullopt;
  }
  JobBuilder builder;
  builder.Team(TeamName(TextField(aObject, "team")))
    .Service(ServiceName(TextField(aObject, "service")))
    .Key(JobKey(TextField(aObject, "key")))
    .GangShape(*shape);
  builder.CoresPerMember(SmallIntegerField(aObject, "cores", 1))
    .MemoryPerMember(SmallIntegerField(aObject, "memory_mb", 1024))
    .DeclaredRunTime(Milliseconds(IntegerField(aObject, "run_time_ms")))
    .Urgent(BooleanField(aObject, "urgent"));
  return builder.Build(aReason);
}

std::optional<JobRecord>
ReadRecord(const json& aObject, Reason& aReason)
{
  const std::optional<Job> job = ReadJob(aObject, aReason);
  if (!job) {
    return std::nullopt;
  }
  const std::optional<JobState> state =
    ParseJobState(TextField(aObject, "state"));
  if (!state) {
    aReason =
      Reason(Step::kDecode, job->Key().Text(), "a job's state is unknown");
    return std::nullopt;
  }
  return JobRecordBuilder()
    .Request(*job)
    .State(*state)
    .DataCentre(DataCentreName(TextField(aObject, "data_centre")))
    .Attempts(IntegerField(aObject, "attempts"))
    .Saved(Milliseconds(IntegerField(aObject, "saved_ms")))
    .Detail(TextField(aObject, "detail"))
    .Build(aReason);
}

json
RecordObject(const JobRecord& aRecord)
{
  json object = JobObject(aRecord.Request());
  object["state"] = JobStateName(aRecord.State());
  object["data_centre"] = aRecord.DataCentre().Text();
  object["attempts"] = aRecord.Attempts();
  object["saved_ms"] = aRecord.Saved().count();
  object["detail"] = aRecord.Detail();
  return object;
}

}

std::string_view
JobStateName(JobState aState)
{
  return NameIn(kStates, aState);
}

std::optional<JobState>
ParseJobState(std::string_view aName)
{
  return ValueIn(kStates, aName);
}

std::optional<Job>
DecodeJob(const std::string& aText, Reason& aReason)
{
  const std::optional<json> object = ParseJsonObject(aText);
  if (!object) {
    aReason = Reason(Step::kDecode, "", "a job must be a JSON object");
    return std::nullopt;
  }
  if (!HasOnlyKnownKeys(*object, aReason)) {
    return std::nullopt;
  }
  return ReadJob(*object, aReason);
}

std::string
EncodeJob(const Job& aJob)
{
  return JsonText(JobObject(aJob));
}

std::string
EncodeJobRecord(const JobRecord& aRecord)
{
  return JsonText(RecordObject(aRecord));
}

std::optional<JobRecord>
DecodeJobRecord(const std::string& aText, Reason& aReason)
{
  const std::optional<json> object = ParseJsonObject(aText);
  if (!object) {
    aReason = Reason(Step::kDecode, "", "a job's record must be a JSON object");
    return std::nullopt;
  }
  return ReadRecord(*object, aReason);
}

std::string
EncodeJobRecords(const std::vector<JobRecord>& aRecords)
{
  json array = json::array();
  for (const JobRecord& record : aRecords) {
    array.push_back(RecordObject(record));
  }
  return JsonText(array);
}

std::optional<std::vector<JobRecord>>
DecodeJobRecords(const std::string& aText, Reason& aReason)
{
  const json array = json::parse(aText, nullptr, false);
  if (!array.is_array()) {
    aReason = Reason(Step::kDecode, "", "job records must be a JSON array");
    return std::nullopt;
  }
  std::vector<JobRecord> records;
  for (const json& object : array) {
    if (!object.is_object()) {
      aReason = Reason(Step::kDecode, "", "a job's record must be an object");
      return std::nullopt;
    }
    std::optional<JobRecord> record = ReadRecord(object, aReason);
    if (!record) {
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

std::string
EncodeOwnership(const Ownership& aOwnership)
{
  json electorate = json::array();
  for (const HostName& host : aOwnership.Electorate()) {
    electorate.push_back(host.Text());
  }
  const json object = { { "host", aOwnership.Host().Text() },
                        { "term", aOwnership.Term() },
                        { "lease_ms", aOwnership.Lease().count() },
                        { "renewal", aOwnership.Renewal() },
                        { "electorate", electorate } };
  return JsonText(object);
}

std::optional<Ownership>
DecodeOwnership(const std::string& aText, Reason& aReason)
{
  const std::optional<json> object = ParseJsonObject(aText);
  if (!object) {
    aReason = Reason(Step::kDecode, "", "an ownership must be a JSON object");
    return std::nullopt;
  }
  std::vector<HostName> electorate;
  const json hosts = object->value("electorate", json::array());
  for (const json& host : hosts) {
    if (host.is_string()) {
      electorate.emplace_back(host.get<std::string>());
    }
  }
  return OwnershipBuilder()
    .Host(HostName(TextField(*object, "host")))
    .Term(IntegerField(*object, "term"))
    .Lease(Milliseconds(IntegerField(*object, "lease_ms")))
    .Renewal(IntegerField(*object, "renewal"))
    .Electorate(electorate)
    .Build(aReason);
}

}
