#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace review {

/** The platform's store of rows, with the limits that its page states. Not for
 * several threads. */
class PlatformStore
{
public:
  /** Bytes of a row's value. */
  static constexpr std::size_t kMaxRowBytes = 65'536;

  /** Applies a transaction and returns the status: 200, 412 with the current
   * rows, or 400 with the reason when it breaks a limit. */
  int Commit(const std::string& aBody, nlohmann::json& aAnswer);
  /** Whether a transaction writes or removes a row of a table. */
  static bool Writes(const std::string& aBody, const std::string& aTable);
  nlohmann::json Range(const std::string& aTable,
                       const std::string& aPart,
                       const std::string& aFrom,
                       const std::string& aTo) const;
  nlohmann::json Changes(const std::string& aTable, std::int64_t aAfter) const;
  /** Writes a row as the operator or a minion does. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool isRemoved = false;
  };

  static Name NameOf(const nlohmann::json& aRow);
  static nlohmann::json RowOf(const Name& aName, const Row& aRow);
  /** Reason for which the store refuses the transaction; empty for none. */
  static std::string Refusal(const std::string& aBody,
                             const nlohmann::json& aTransaction);

  std::map<Name, Row> rows;
  std::int64_t version = 1;
};

}
