#pragma once

#include "contracts/row_page.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/current_catalog.h"
#include "scheduling/evacuation_reader.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "scheduling/platform_schema.h"
#include "scheduling/row_feed.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

namespace sardinecourse {

/**
 * Follows the operators' rows in the store: it publishes each new version of
 * the configuration on this host, and keeps the evacuated data centres. It
 * long-polls the store with a short limit, so that each answer also confirms
 * that nothing newer existed when the request was sent.
 */
template<RowStore Store, PlatformSchema Schema>
class CatalogWatcher
{
public:
  using Adopted = std::function<void(const ServiceCatalog&)>;
  using Confirmed = std::function<void(const EvacuationView&)>;

  CatalogWatcher(boost::asio::io_context& aContext,
                 Store& aStore,
                 CurrentCatalog& aCurrentCatalog,
                 Adopted aAdopted,
                 Confirmed aConfirmed)
    : context(&aContext)
    , feed(aStore,
           Schema::CatalogTable(),
           Schema::CatalogKey(),
           Schema::OperatorKeysEnd())
    , currentCatalog(&aCurrentCatalog)
    , adopted(std::move(aAdopted))
    , confirmed(std::move(aConfirmed))
  {
  }

  /** The evacuated data centres as last confirmed. */
  const EvacuationView& Evacuations() const { return this->evacuations.View(); }

  /** Follows the store; never returns. Failed reads are logged and retried. */
  boost::asio::awaitable<void> Run()
  {
    bool isReachable = true;
    while (true) {
      Reason reason;
      const Instant requestedAt = Clock::now();
      // After a failure the confirmation is overdue, so it isn't delayed by the
      // wait for a change.
      const Milliseconds maxWait =
        isReachable ? kMaxChangeWait : Milliseconds(0);
      const std::optional<RowPage> page =
        co_await this->feed.Next(maxWait, reason);
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
      this->ApplyPage(*page, requestedAt);
    }
  }

  /** Adopts the configuration in a row from another answer of the store, if the
   * row is newer than the one in force. An unreadable row is logged and
   * ignored. */
  void AdoptIfNewer(const TableRow& aRow)
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
  /** Longest wait for a change. Short enough that the confirmation is renewed
   * well before it is too old for callers' keys to be accepted. */
  static constexpr Milliseconds kMaxChangeWait{ 800 };
  static constexpr Milliseconds kRetryPause{ 150 };

  void ApplyPage(const RowPage& aPage, Instant aRequestedAt)
  {
    if (aPage.IsHistoryLost()) {
      EventLine("store_history_lost").Field("use", "catalog").Emit();
      return;
    }
    for (const TableRow& row : aPage.Rows()) {
      this->AdoptIfNewer(row);
    }
    this->currentCatalog->NoteConfirmed(aRequestedAt);
    this->evacuations.Apply(aPage, this->feed.IsFullRange(), aRequestedAt);
    this->confirmed(this->evacuations.View());
  }

  void Adopt(const ServiceCatalog& aCatalog)
  {
    // Versions never decrease; the same version may be stored again.
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
  Confirmed confirmed;
  EvacuationReader<Schema> evacuations;
  ServiceCatalog current;
};

}
