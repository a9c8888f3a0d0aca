#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** {"decisions": [...]}: the decisions about one job, in words, oldest first.
 */
std::string
EncodeDecisions(const std::vector<std::string>& aDecisions);
std::optional<std::vector<std::string>>
DecodeDecisions(const std::string& aText, Reason& aReason);

}
