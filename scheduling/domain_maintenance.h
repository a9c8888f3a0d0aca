#pragma once

#include "codecs/domain_usage_json.h"
#include "codecs/pending_json.h"
#include "contracts/domain_usage.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"
#include "zones/job_intake.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Publishes what callers and hosts need of the domain's state: the number of
 * pending jobs of each queue, and the memory that the accepted jobs take. */
template<typename Term>
class DomainMaintenance
{
public:
  explicit DomainMaintenance(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Stores the pending jobs of each queue when they have changed; a failed
   * write is logged and repeated. */
  boost::asio::awaitable<void> PublishPending()
  {
    std::string published;
    while (this->term->IsActive()) {
      std::string text = EncodePending(this->term->Domain().Pending());
      if (text != published) {
        const bool isStored = co_await this->Store(kPendingRow, text);
        if (isStored) {
          published = std::move(text);
        }
      }
      co_await this->term->PauseFor(kPendingInterval);
    }
  }

  /** Stores the memory that the accepted jobs take while room is scarce, and
   * deletes the row otherwise, also that of an earlier holder. A failed write
   * is logged and repeated. */
  boost::asio::awaitable<void> PublishUsage()
  {
    std::optional<DomainUsage> published;
    while (this->term->IsActive()) {
      const DomainUsage usage = PublishedUsage(this->term->Domain().Usage());
      if (usage != published) {
        std::optional<std::string> value;
        if (usage != DomainUsage()) {
          value = EncodeDomainUsage(usage);
        }
        const bool isStored = co_await this->Store(kUsageRow, value);
        if (isStored) {
          LogUsage(usage);
          published = usage;
        }
      }
      co_await this->term->PauseFor(kUsageInterval);
    }
  }

private:
  static constexpr Milliseconds kPendingInterval{ 500 };
  /** Hosts take jobs by the stored usage, so it is stored soon. */
  static constexpr Milliseconds kUsageInterval{ 100 };

  /** Stores a value in a row of the domain, or deletes the row. */
  boost::asio::awaitable<bool> Store(std::string aRow,
                                     std::optional<std::string> aValue)
  {
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
    AddWrite(writes, kDomainTable, aRow, std::move(aValue));
    const TableTransaction transaction =
      MakeTransaction(std::move(checks), std::move(writes));
    Reason reason;
    const CommitAnswer answer =
      co_await this->term->Rows().Commit(transaction, reason);
    if (answer.Outcome() != WriteOutcome::kCommitted) {
      EventLine(aRow + "_not_stored").Field(reason).Emit();
    }
    co_return answer.Outcome() == WriteOutcome::kCommitted;
  }

  static void LogUsage(const DomainUsage& aUsage)
  {
    if (aUsage != DomainUsage()) {
      EventLine("usage_stored")
        .Field("bytes", aUsage.Bytes())
        .Field("limit", kMaxIntakeBytes)
        .Emit();
    }
  }

  Term* term;
};

}
