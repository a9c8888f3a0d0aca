#include "review/stand_in/words.h"

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace review {

namespace {

std::map<std::string, std::string>&
Table()
{
  static std::map<std::string, std::string> table;
  return table;
}

}

bool
LoadWords(const std::string& aFile)
{
  std::ifstream file(aFile);
  const auto names = nlohmann::json::parse(file, nullptr, false);
  if (!names.is_object()) {
    return false;
  }
  Table() = names.get<std::map<std::string, std::string>>();
  return true;
}

const std::string&
Word(const std::string& aOwn)
{
  return Table().at(aOwn);
}

}
