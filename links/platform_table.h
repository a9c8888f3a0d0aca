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
 * The platform's transactional table. Read() returns a row of revision 0 if
 * there is no such row, and is empty, with the reason, if the platform did not
 * answer. Scan() returns the rows whose keys start with a prefix, ordered by
 * key. Commit() determines the outcome after a lost answer where possible, and
 * otherwise returns WriteOutcome::kNotKnown.
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
