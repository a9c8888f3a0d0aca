#include "daemon/job_rows.h"

#include "codecs/job_json.h"
#include "contracts/job_record.h"
#include "contracts/table_check_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/percent_encoding.h"
#include "core/reason.h"

#include <utility>

namespace sardinecourse {

namespace {

TableWrite
WriteOf(std::string aKey, std::optional<std::string> aValue)
{
  Reason reason;
  return TableWriteBuilder()
    .Key(std::move(aKey))
    .NewValue(std::move(aValue))
    .Build(reason)
    .value_or(TableWrite());
}

}

std::string
JobRowKey(const TeamName& aTeam, const JobKey& aKey)
{
  return JobRowPrefix(aTeam) + PercentEncode(aKey.Text());
}

std::string
JobRowPrefix(const TeamName& aTeam)
{
  return "job/" + PercentEncode(aTeam.Text()) + "/";
}

std::string
QueueRowKey(const DataCentreName& aDataCentre,
            const TeamName& aTeam,
            const JobKey& aKey)
{
  return QueueRowPrefix(aDataCentre) + PercentEncode(aTeam.Text()) + "/" +
         PercentEncode(aKey.Text());
}

std::string
QueueRowPrefix(const DataCentreName& aDataCentre)
{
  return "queue/" + PercentEncode(aDataCentre.Text()) + "/";
}

std::string
QueueMarkKey(const DataCentreName& aDataCentre)
{
  return "queue_mark/" + PercentEncode(aDataCentre.Text());
}

TableTransaction
RecordTransaction(const JobRecord& aRecord,
                  std::int64_t aRevision,
                  bool aUpdatesMark)
{
  Reason reason;
  const Job& job = aRecord.Request();
  const std::string key = JobRowKey(job.Team(), job.Key());
  const std::string value = EncodeJobRecord(aRecord);
  const auto check =
    TableCheckBuilder().Key(key).Revision(aRevision).Build(reason);
  std::optional<std::string> queued;
  if (!IsFinal(aRecord.State())) {
    queued = value;
  }
  std::vector<TableWrite> writes;
  writes.push_back(WriteOf(key, value));
  writes.push_back(
    WriteOf(QueueRowKey(aRecord.DataCentre(), job.Team(), job.Key()), queued));
  if (aUpdatesMark) {
    writes.push_back(WriteOf(QueueMarkKey(aRecord.DataCentre()), key));
  }
  return TableTransactionBuilder()
    .Checks({ *check })
    .Writes(writes)
    .Build(reason)
    .value_or(TableTransaction());
}

}
