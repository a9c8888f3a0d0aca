#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "core/reason.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace YAML {
class Node;
}

namespace sardinecourse {

/**
 * Reads one mapping of a settings file strictly: every key must be known, have
 * the expected type and be within its bounds. The first error is kept, with
 * file, line and key; the caller reads all keys and then calls Finish().
 */
class YamlReader
{
public:
  /** aPath names the mapping in errors, for example "fleet.data_centres.east".
   */
  YamlReader(const YAML::Node& aNode, std::string aFile, std::string aPath);
  ~YamlReader();
  YamlReader(const YamlReader&) = delete;
  YamlReader& operator=(const YamlReader&) = delete;

  /** Value of a required string; records an error when it is absent. */
  std::string Text(const std::string& aKey);
  /** Value of an optional string. */
  std::string Text(const std::string& aKey, const std::string& aDefault);
  /** Value of a required integer from aMin to aMax; records an error when it is
   * absent or invalid. */
  std::int64_t Integer(const std::string& aKey,
                       std::int64_t aMin,
                       std::int64_t aMax);
  /** Value of an optional integer from aMin to aMax; an invalid value is
   * recorded as an error and replaced by the default. */
  std::int64_t Integer(const std::string& aKey,
                       std::int64_t aDefault,
                       std::int64_t aMin,
                       std::int64_t aMax);
  /** Value of an optional number from aMin to aMax; an invalid value is
   * recorded as an error and replaced by the default. */
  double Number(const std::string& aKey,
                double aDefault,
                double aMin,
                double aMax);
  /** Duration of an optional number of seconds from aMin to aMax; an invalid
   * value is recorded as an error and replaced by the default. */
  Milliseconds Seconds(const std::string& aKey,
                       Milliseconds aDefault,
                       double aMin,
                       double aMax);
  /** Value of an optional true or false; any other value is recorded as an
   * error and replaced by the default. */
  bool Boolean(const std::string& aKey, bool aDefault);
  /** Required IP:PORT; an invalid one is recorded as an error and read as an
   * empty endpoint. */
  Endpoint Address(const std::string& aKey);
  /** Optional sequence of IP:PORT; reading stops at the first invalid item. */
  std::vector<Endpoint> Addresses(const std::string& aKey);

  /** Calls aVisit(name, reader) for each entry of the optional mapping aKey. */
  void ForEachEntry(
    const std::string& aKey,
    const std::function<void(const std::string&, YamlReader&)>& aVisit);
  /** Calls aVisit(reader) for each mapping of the optional sequence aKey. */
  void ForEachItem(const std::string& aKey,
                   const std::function<void(YamlReader&)>& aVisit);

  /** Calls aVisit(reader) for the optional mapping aKey. */
  void Section(const std::string& aKey,
               const std::function<void(YamlReader&)>& aVisit);

  /** True when the mapping has no aKey or an empty value there; counts as
   * reading it. */
  bool IsEmpty(const std::string& aKey);
  /** True when the mapping has aKey, also with an empty value. */
  bool Has(const std::string& aKey) const;
  /** Line of the mapping or of its name in the file, counted from 1. */
  int Line() const { return this->line; }
  /** Line of aKey; that of the mapping when it has no such key. */
  int LineOfKey(const std::string& aKey) const;

  /** Records an error at aKey, unless one is recorded already. */
  void Fail(const std::string& aKey, const std::string& aText);
  /** True when no error was recorded and every key was read and occurs once;
   * otherwise false, with the first error as the reason. */
  bool Finish(Reason& aReason);

private:
  YAML::Node ReadNode(const std::string& aKey);
  void RejectUnknownKeys();
  void FailAt(int aLine, const std::string& aKey, const std::string& aText);
  void TakeErrorFrom(YamlReader& aChild);

  std::unique_ptr<const YAML::Node> node;
  std::string file;
  std::string path;
  int line;
  std::vector<std::string> readKeys;
  std::optional<Reason> error;
};

}
