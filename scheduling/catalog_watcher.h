#pragma once

#include "contracts/row_page.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/current_catalog.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "scheduling/platform_schema.h"
#include "scheduling/row_feed.h"
#include "scheduling/store_rows.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

namespace sardinecourse {

/**
 * Keeps the newest configuration in force on this host. It waits for changes in
 * the store with a short limit, so that each answer also proves that nothing
 * newer existed when it was asked for.
 */
template<RowStore Store, PlatformSchema Schema>
class CatalogWatcher
{
public:
  using Adopted = std::function<void(const ServiceCatalog&)>;

  CatalogWatcher(boost::asio::io_context& aContext,
                 Store& aStore,
                 CurrentCatalog& aCurrentCatalog,
                 Adopted aAdopted)
    : context(&aContext)
    , feed(aStore,
           Schema::CatalogTable(),
           Schema::CatalogKey(),
           AfterKey(Schema::CatalogKey()))
    , currentCatalog(&aCurrentCatalog)
    , adopted(std::move(aAdopted))
  {
  }

  boost::asio::awaitable<void> Run()
  {
    bool isReachable = true;
    while (true) {
      Reason reason;
      const Instant asked = Clock::now();
      const std::optional<RowPage> page =
        co_await this->feed.Next(kWait, reason);
      if (!page) {
        if (std::exchange(isReachable, false)) {
          EventLine("store_lost").Field("use", "catalog").Field(reason).Emit();
        }
        co_await Pause(*this->context, kRetryPause);
        continue;
      }
      if (!std::exchange(isReachable, true)) {
        EventLine("store_regained").Field("use", "catalog").Emit();
      }
      this->TakeIn(*page, asked);
    }
  }

  /** Takes in a row that came with another answer of the store. */
  void Offer(const TableRow& aRow)
  {
    if (aRow.Key() != Schema::CatalogKey() ||
        aRow.Revision() <= this->current.Revision()) {
      return;
    }
    Reason reason;
    const auto catalog = Schema::DecodeCatalog(aRow, reason);
    if (!catalog) {
      EventLine("catalog_unreadable").Field(reason).Emit();
      return;
    }
    this->Adopt(*catalog);
  }

private:
  /** Short enough that a proof is fresh well before a key must be refused. */
  static constexpr Milliseconds kWait{ 800 };
  static constexpr Milliseconds kRetryPause{ 150 };

  void TakeIn(const RowPage& aPage, Instant aAsked)
  {
    if (aPage.IsHistoryLost()) {
      EventLine("store_history_lost").Field("use", "catalog").Emit();
      return;
    }
    for (const TableRow& row : aPage.Rows()) {
      this->Offer(row);
    }
    this->currentCatalog->NoteConfirmed(aAsked);
  }

  void Adopt(const ServiceCatalog& aCatalog)
  {
    // A version never goes back; the same one may be stored again.
    if (aCatalog.Version() < this->current.Version()) {
      EventLine("catalog_refused")
        .Field("version", aCatalog.Version())
        .Field("in_force", this->current.Version())
        .Emit();
      return;
    }
    EventLine("catalog_adopted")
      .Field("version", aCatalog.Version())
      .Field("previous", this->current.Version())
      .Field("queues", static_cast<std::int64_t>(aCatalog.Queues().size()))
      .Emit();
    this->current = aCatalog;
    this->currentCatalog->Publish(aCatalog);
    this->adopted(aCatalog);
  }

  boost::asio::io_context* context;
  RowFeed<Store> feed;
  CurrentCatalog* currentCatalog;
  Adopted adopted;
  ServiceCatalog current;
};

}
