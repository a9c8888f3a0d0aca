#pragma once

#include "contracts/path_change.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** Maps the path of every value of a YAML text to the value, for example
 * "data_centres.east.teams.luthiers.quota". */
std::optional<std::map<std::string, std::string>>
YamlPaths(const std::string& aText, const std::string& aFile, Reason& aReason);

/** Changed, added and removed values, ordered by path. */
std::vector<PathChange>
ComparePaths(const std::map<std::string, std::string>& aBefore,
             const std::map<std::string, std::string>& aAfter);

}
