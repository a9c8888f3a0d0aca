#pragma once

#include "contracts/table_row.h"
#include "contracts/write_outcome.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;
class TableTransaction;

/**
 * The platform's transactional table, as the daemon's loops use it.
 * Read gives a row of revision zero when there is none, and is empty when the
 * platform did not answer. Scan gives the rows whose keys start with a prefix,
 * in the order of their keys. Commit resolves lost answers by itself as far as
 * it can.
 */
template<typename Table>
concept PlatformTable = requires(Table& aTable,
                                 const std::string& aKey,
                                 const TableTransaction& aTransaction,
                                 Reason& aReason)
{
  {
    aTable.Read(aKey, aReason)
    } -> std::same_as<boost::asio::awaitable<std::optional<TableRow>>>;
  {
    aTable.Scan(aKey, aReason)
    } -> std::same_as<
      boost::asio::awaitable<std::optional<std::vector<TableRow>>>>;
  {
    aTable.Commit(aTransaction, aReason)
    } -> std::same_as<boost::asio::awaitable<WriteOutcome>>;
};

}
