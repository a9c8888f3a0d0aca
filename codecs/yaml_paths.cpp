#include "codecs/yaml_paths.h"

#include "codecs/yaml_document.h"

#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

// A name may contain dots, so two different values can get the same path and
// one of them is lost. That is acceptable, since the paths are only shown to
// people.
void
CollectPaths(const YAML::Node& aNode,
             const std::string& aPath,
             std::map<std::string, std::string>& aPaths)
{
  if (aNode.IsMap()) {
    for (const auto& entry : aNode) {
      const std::string key =
        entry.first.IsScalar() ? entry.first.Scalar() : "?";
      CollectPaths(
        entry.second, aPath.empty() ? key : aPath + "." + key, aPaths);
    }
    return;
  }
  if (aNode.IsSequence()) {
    std::size_t index = 0;
    for (const YAML::Node& item : aNode) {
      CollectPaths(item, aPath + "[" + std::to_string(index++) + "]", aPaths);
    }
    return;
  }
  aPaths[aPath] = aNode.IsScalar() ? aNode.Scalar() : "";
}

}

std::optional<std::map<std::string, std::string>>
YamlPaths(const std::string& aText, const std::string& aFile, Reason& aReason)
{
  const std::optional<YAML::Node> node = ParseYaml(aText, aFile, aReason);
  if (!node) {
    return std::nullopt;
  }
  std::map<std::string, std::string> paths;
  if (!node->IsNull()) {
    CollectPaths(*node, "", paths);
  }
  return paths;
}

std::vector<PathChange>
ComparePaths(const std::map<std::string, std::string>& aBefore,
             const std::map<std::string, std::string>& aAfter)
{
  std::map<std::string, PathChange> changes;
  for (const auto& [path, value] : aBefore) {
    changes[path] = { path, value, std::nullopt };
  }
  for (const auto& [path, value] : aAfter) {
    changes[path].path = path;
    changes[path].after = value;
  }
  std::vector<PathChange> different;
  for (const auto& [path, change] : changes) {
    if (change.before != change.after) {
      different.push_back(change);
    }
  }
  return different;
}

}
