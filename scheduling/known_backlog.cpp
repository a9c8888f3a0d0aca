#include "scheduling/known_backlog.h"

#include "codecs/domain_backlog_json.h"
#include "contracts/table_row.h"
#include "core/reason.h"
#include "scheduling/store_rows.h"

namespace sardinecourse {

namespace {

/** The holder repeats its statement every 2 s; a host admits jobs less often
 * while few callers ask. */
constexpr Milliseconds kMaxAge{ 5000 };

}

DomainBacklog
KnownBacklog::Fresh(Instant aNow) const
{
  const bool isFresh = this->statedAfter && aNow < *this->statedAfter + kMaxAge;
  return isFresh ? this->backlog : DomainBacklog();
}

void
KnownBacklog::Update(const std::vector<TableRow>& aRows, Instant aSent)
{
  for (const TableRow& row : aRows) {
    if (row.Table() != kDomainTable || row.Key() != kBacklogRow) {
      continue;
    }
    if (row.Revision() != this->revision) {
      Reason ignored; // An unreadable backlog refuses no job.
      this->backlog =
        DecodeDomainBacklog(row.Value(), ignored).value_or(DomainBacklog());
      this->statedAfter = this->knownAt;
      this->revision = row.Revision();
    }
    this->knownAt = aSent;
  }
}

}
