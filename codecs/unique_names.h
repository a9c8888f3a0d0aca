#pragma once

#include <map>
#include <string>

namespace sardinecourse {

class YamlReader;

/** Checks that names or addresses of one kind are unique within a settings
 * file.
 */
class UniqueNames
{
public:
  /** aKind is used in error messages, for example "worker". */
  explicit UniqueNames(std::string aKind);

  /** Adds a name; when it was added before, records an error at the reader's
   * aKey that gives the line of the first use. Empty names are not checked. */
  void Add(const std::string& aName,
           const std::string& aKey,
           YamlReader& aReader);

private:
  std::string kind;
  std::map<std::string, int> lineByName;
};

}
