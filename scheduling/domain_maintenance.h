#pragma once

#include "codecs/pending_json.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Publishes the number of pending jobs of each queue, which callers can ask
 * for. */
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
        std::vector<TableCheck> checks;
        std::vector<TableWrite> writes;
        AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
        AddWrite(writes, kDomainTable, kPendingRow, text);
        const TableTransaction transaction =
          MakeTransaction(std::move(checks), std::move(writes));
        Reason reason;
        const CommitAnswer answer =
          co_await this->term->Rows().Commit(transaction, reason);
        if (answer.Outcome() == WriteOutcome::kCommitted) {
          published = std::move(text);
        } else {
          EventLine("pending_not_stored").Field(reason).Emit();
        }
      }
      co_await this->term->PauseFor(kPendingInterval);
    }
  }

private:
  static constexpr Milliseconds kPendingInterval{ 500 };

  Term* term;
};

}
