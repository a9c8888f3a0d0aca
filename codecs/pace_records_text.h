#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class PaceRecords;
class Reason;

/** Encodes the measured paces as the text of their row: six characters for each
 * worker. */
std::string
EncodePaceRecords(const PaceRecords& aRecords);

std::optional<PaceRecords>
DecodePaceRecords(const std::string& aText, Reason& aReason);

}
