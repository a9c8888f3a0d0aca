#pragma once

#include "contracts/path_change.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** Each value of a YAML text by its path, for example
 * "data_centres.east.teams.luthiers.quota". */
std::optional<std::map<std::string, std::string>>
YamlPaths(const std::string& aText, const std::string& aFile, Reason& aReason);

/** What differs, in the order of the paths. */
std::vector<PathChange>
ComparePaths(const std::map<std::string, std::string>& aBefore,
             const std::map<std::string, std::string>& aAfter);

}
