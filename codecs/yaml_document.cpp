#include "codecs/yaml_document.h"

#include "core/reason.h"

#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace sardinecourse {

std::optional<YAML::Node>
ParseYaml(const std::string& aText, const std::string& aFile, Reason& aReason)
{
  // The library reports errors only by exceptions, which are caught here.
  try {
    return YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    const std::string where = aFile + ":" + std::to_string(error.mark.line + 1);
    aReason = Reason(Step::kSettings, where, error.msg);
    return std::nullopt;
  }
}

std::optional<std::string>
ReadTextFile(const std::string& aPath, Reason& aReason)
{
  const std::ifstream file(aPath);
  if (!file) {
    aReason = Reason(Step::kSettings, aPath, "cannot be opened");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}
