#include "codecs/unique_names.h"

#include "codecs/yaml_reader.h"

#include <utility>

namespace sardinecourse {

UniqueNames::UniqueNames(std::string aKind)
  : kind(std::move(aKind))
{
}

void
UniqueNames::Add(const std::string& aName,
                 const std::string& aKey,
                 YamlReader& aReader)
{
  const auto [found, isAdded] =
    this->lineByName.emplace(aName, aReader.LineOfKey(aKey));
  if (!isAdded && !aName.empty()) {
    aReader.Fail(aKey,
                 "repeats the " + this->kind + " " + aName + " of line " +
                   std::to_string(found->second));
  }
}

}
