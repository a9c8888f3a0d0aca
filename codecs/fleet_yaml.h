#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Fleet;
class Reason;

/** Reads the fleet's settings tree; empty, with file, line and key, at the
 * first fault. */
std::optional<Fleet>
DecodeFleet(const std::string& aText,
            const std::string& aFile,
            std::int64_t aRevision,
            Reason& aReason);

}
