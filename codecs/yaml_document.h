#pragma once

#include <optional>
#include <string>

namespace YAML {
class Node;
}

namespace sardinecourse {

class Reason;

/** Parses YAML text; empty, with file and line in the reason, when it is not
 * well formed. aFile is used only in that reason. */
std::optional<YAML::Node>
ParseYaml(const std::string& aText, const std::string& aFile, Reason& aReason);

/** Reads a whole file; empty, with the reason, when it cannot be opened. */
std::optional<std::string>
ReadTextFile(const std::string& aPath, Reason& aReason);

}
