#pragma once

#include "core/endpoint.h"
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
 * Reads one mapping of a settings file strictly: every key must be known, of
 * its type and within bounds. It keeps the first error, with file, line and
 * key; the caller reads all keys and then asks Finish().
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

  /** A value that must be there. */
  std::string Text(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  std::int64_t Integer(const std::string& aKey,
                       std::int64_t aMin,
                       std::int64_t aMax);
  std::int64_t Integer(const std::string& aKey,
                       std::int64_t aDefault,
                       std::int64_t aMin,
                       std::int64_t aMax);
  double Number(const std::string& aKey,
                double aDefault,
                double aMin,
                double aMax);
  Endpoint Address(const std::string& aKey);
  std::vector<Endpoint> Addresses(const std::string& aKey);

  /** Calls aVisit(name, reader) for each entry of the mapping under aKey, which
   * may be absent. */
  void Each(const std::string& aKey,
            const std::function<void(const std::string&, YamlReader&)>& aVisit);
  /** Calls aVisit(reader) for each mapping of the sequence under aKey, which
   * may be absent. */
  void EachItem(const std::string& aKey,
                const std::function<void(YamlReader&)>& aVisit);

  /** Calls aVisit(reader) for the mapping under aKey, which may be absent. */
  void Section(const std::string& aKey,
               const std::function<void(YamlReader&)>& aVisit);

  bool Has(const std::string& aKey) const;
  /** Line where the mapping starts or is named, from 1. */
  int Line() const { return this->line; }
  /** Line of aKey, or else of the mapping. */
  int LineOfKey(const std::string& aKey) const;

  /** Records an error at aKey, unless one is recorded already. */
  void Fail(const std::string& aKey, const std::string& aText);
  /** True when no error was recorded and no key was left unread; otherwise sets
   * the reason. */
  bool Finish(Reason& aReason);

private:
  YAML::Node Take(const std::string& aKey);
  void RefuseUnreadKeys();
  void FailAt(int aLine, const std::string& aKey, const std::string& aText);
  void Adopt(YamlReader& aChild);

  std::unique_ptr<const YAML::Node> node;
  std::string file;
  std::string path;
  int line;
  std::vector<std::string> read;
  std::optional<Reason> error;
};

}
