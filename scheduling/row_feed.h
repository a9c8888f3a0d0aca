#pragma once

#include "contracts/row_page.h"
#include "core/reason.h"
#include "links/row_store.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace sardinecourse {

/** Follows a table of the store page by page: first all rows of a key range,
 * then the changes of the table. After the store has dropped its history, the
 * next page holds the full range again. */
template<RowStore Store>
class RowFeed
{
public:
  RowFeed(Store& aStore, std::string aTable, std::string aFrom, std::string aTo)
    : store(&aStore)
    , table(std::move(aTable))
    , from(std::move(aFrom))
    , to(std::move(aTo))
  {
  }

  /** Returns the next page; waits up to aWait for a change. Empty, with the
   * reason, when the store did not answer; the next call repeats the
   * request. */
  boost::asio::awaitable<std::optional<RowPage>> Next(Milliseconds aWait,
                                                      Reason& aReason)
  {
    this->isFullRange = this->afterRevision == 0;
    std::optional<RowPage> page;
    if (this->isFullRange) {
      page =
        co_await this->store->Read(this->table, this->from, this->to, aReason);
    } else {
      page = co_await this->store->Changes(
        this->table, this->afterRevision, aWait, aReason);
    }
    if (page) {
      this->afterRevision = page->IsHistoryLost() ? 0 : page->Revision();
    }
    co_return page;
  }

  /** Whether the last page held the full range rather than changes. */
  bool IsFullRange() const { return this->isFullRange; }
  /** Makes the next page hold the full range. */
  void Restart() { this->afterRevision = 0; }

private:
  Store* store;
  std::string table;
  std::string from;
  std::string to;
  std::int64_t afterRevision = 0;
  bool isFullRange = false;
};

}
