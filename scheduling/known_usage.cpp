#include "scheduling/known_usage.h"

#include "codecs/domain_usage_json.h"
#include "contracts/table_row.h"
#include "core/reason.h"
#include "scheduling/call_context.h"
#include "scheduling/store_rows.h"
#include "zones/job_intake.h"

namespace sardinecourse {

namespace {

constexpr Milliseconds kMaxAge{ 1000 };

}

bool
KnownUsage::IsFresh(Instant aNow) const
{
  return aNow < this->readAt + kMaxAge;
}

bool
KnownUsage::HasRoom(const CallContext& aCallContext,
                    std::int64_t aBytes,
                    Reason& aReason) const
{
  return HasIntakeRoom(this->usage,
                       aCallContext.team,
                       aCallContext.queue.Priority(),
                       aBytes,
                       aReason);
}

void
KnownUsage::Update(const std::vector<TableRow>& aRows, Instant aNow)
{
  this->usage = DomainUsage();
  this->revision = 0;
  this->readAt = aNow;
  for (const TableRow& row : aRows) {
    if (row.Table() == kDomainTable && row.Key() == kUsageRow &&
        row.Revision() > 0) {
      Reason ignored; // An unreadable usage refuses no job.
      this->usage =
        DecodeDomainUsage(row.Value(), ignored).value_or(DomainUsage());
      this->revision = row.Revision();
    }
  }
}

void
KnownUsage::Add(const CallContext& aCallContext, std::int64_t aBytes)
{
  this->usage = this->usage.With(aCallContext.team, aBytes);
}

}
