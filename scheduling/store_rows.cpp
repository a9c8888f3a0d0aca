#include "scheduling/store_rows.h"

#include "contracts/table_check_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/reason.h"

#include <string_view>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::string_view kCancelSuffix = ".cancel";

}

std::string
CancelRowKey(const JobKey& aJob)
{
  return aJob.Text() + std::string(kCancelSuffix);
}

std::string
ProgressRowKey(const JobKey& aJob, std::int32_t aIndex)
{
  return aJob.Text() + "." + std::to_string(aIndex);
}

std::optional<JobKey>
CancelledJob(const std::string& aRowKey)
{
  if (!aRowKey.ends_with(kCancelSuffix)) {
    return std::nullopt;
  }
  return JobKey(aRowKey.substr(0, aRowKey.size() - kCancelSuffix.size()));
}

void
AddCheck(std::vector<TableCheck>& aChecks,
         const std::string& aTable,
         const std::string& aKey,
         std::int64_t aRevision)
{
  Reason ignored; // Fails only for an empty key, which no caller passes.
  const auto check =
    TableCheckBuilder().Table(aTable).Key(aKey).Revision(aRevision).Build(
      ignored);
  if (check) {
    aChecks.push_back(*check);
  }
}

void
AddWrite(std::vector<TableWrite>& aWrites,
         const std::string& aTable,
         const std::string& aKey,
         std::optional<std::string> aValue)
{
  Reason ignored; // Fails only for an empty key, which no caller passes.
  const auto write = TableWriteBuilder()
                       .Table(aTable)
                       .Key(aKey)
                       .NewValue(std::move(aValue))
                       .Build(ignored);
  if (write) {
    aWrites.push_back(*write);
  }
}

TableTransaction
MakeTransaction(std::vector<TableCheck> aChecks,
                std::vector<TableWrite> aWrites)
{
  Reason ignored; // Fails only without a write, which no caller passes.
  return TableTransactionBuilder()
    .Checks(std::move(aChecks))
    .Writes(std::move(aWrites))
    .Build(ignored)
    .value_or(TableTransaction());
}

std::string
AfterKey(const std::string& aKey)
{
  return aKey + '\x01';
}

}
