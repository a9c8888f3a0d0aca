#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** Encodes {"decisions": [...]}: one sentence for each scheduling decision
 * about a job, oldest first. */
std::string
EncodeDecisions(const std::vector<std::string>& aDecisions);
/** Empty, with the reason, when the text has no "decisions"; items that are not
 * strings are skipped. */
std::optional<std::vector<std::string>>
DecodeDecisions(const std::string& aText, Reason& aReason);

}
