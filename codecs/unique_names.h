#pragma once

#include <map>
#include <string>

namespace sardinecourse {

class YamlReader;

/** The names or addresses of one kind that a settings file has used so far. */
class UniqueNames
{
public:
  /** aKind is used in the message, for example "worker". */
  explicit UniqueNames(std::string aKind);

  /** Records an error at aKey of the reader when aName was used before. */
  void Claim(const std::string& aName,
             const std::string& aKey,
             YamlReader& aReader);

private:
  std::string kind;
  std::map<std::string, int> lineByName;
};

}
