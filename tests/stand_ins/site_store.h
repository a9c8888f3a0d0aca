#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace sardinecourse {

/** The store of the users' platform, after its published protocol: rows in
 * tables and parts, conditional transactions, and changes since a version. */
class SiteStore
{
public:
  /** Why the store refuses a transaction for its size; empty when it does not.
   */
  static std::string Refusal(const nlohmann::json& aTransaction);
  /** Applies the body of a transaction. Returns false, with the current rows of
   * its conditions in aAnswer, when a condition is not met. */
  bool Apply(const nlohmann::json& aTransaction, nlohmann::json& aAnswer);
  /** Rows with keys from aFrom up to, not including, aTo; an empty aTo is no
   * limit. The field HasMore marks an incomplete answer. */
  nlohmann::json Range(const std::string& aTable,
                       const std::string& aPart,
                       const std::string& aFrom,
                       const std::string& aTo) const;
  /** Latest state of the table's rows that changed after a version, removed
   * ones too, in the order of their versions. */
  nlohmann::json Changes(const std::string& aTable, std::int64_t aAfter) const;
  /** Writes a row unconditionally, as an operator or a worker does; encodes the
   * value as base64. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

  /** Drops the history: changes since an earlier version cannot be listed any
   * more. */
  void Compact() { this->firstListedVersion = this->version; }
  /** Whether any row of the table changed after a version. */
  bool HasChanges(const std::string& aTable, std::int64_t aAfter) const;
  bool HasHistory(std::int64_t aAfter) const
  {
    return aAfter >= this->firstListedVersion;
  }

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool isRemoved = false;
  };

  static Name NameOf(const nlohmann::json& aRow);
  static nlohmann::json RowObject(const Name& aName, const Row& aRow);
  std::int64_t VersionOf(const Name& aName) const;
  /** Stores a row of the current version. */
  void Write(const Name& aName, const std::string& aValue, bool aIsRemoved);

  std::map<Name, Row> rows;
  /** Rows that changed, by table and version; an entry whose row has a later
   * version by now is obsolete. */
  std::map<std::string, std::map<std::int64_t, std::vector<Name>>> changes;
  std::int64_t version = 1;
  std::int64_t firstListedVersion = 0;
};

}
