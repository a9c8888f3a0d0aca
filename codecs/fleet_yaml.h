#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Fleet;
class Reason;

/** Decodes the fleet and its settings tree; empty, with file, line and key of
 * the first error in the reason, when the text is invalid. */
std::optional<Fleet>
DecodeFleet(const std::string& aText,
            const std::string& aFile,
            std::int64_t aRevision,
            Reason& aReason);

}
