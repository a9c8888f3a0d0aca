#pragma once

#include "contracts/commit_answer.h"
#include "contracts/row_page.h"
#include "contracts/table_transaction.h"
#include "core/instant.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/**
 * A transactional store of named tables, for the loops of a scheduling domain.
 * Read() returns a consistent snapshot of the rows between two keys. Changes()
 * waits up to aWait for rows that changed after a revision and returns them in
 * order. Both are empty, with the reason, on a failure. Commit() makes a single
 * attempt and does not repeat one whose answer was lost.
 */
template<typename Store>
concept RowStore = requires(Store& aStore,
                            std::string aTable,
                            std::string aKey,
                            std::int64_t aRevision,
                            Milliseconds aWait,
                            const TableTransaction& aTransaction,
                            Reason& aReason)
{
  {
    aStore.Read(aTable, aKey, aKey, aReason)
    } -> std::same_as<boost::asio::awaitable<std::optional<RowPage>>>;
  {
    aStore.Changes(aTable, aRevision, aWait, aReason)
    } -> std::same_as<boost::asio::awaitable<std::optional<RowPage>>>;
  {
    aStore.Commit(aTransaction, aReason)
    } -> std::same_as<boost::asio::awaitable<CommitAnswer>>;
};

}
