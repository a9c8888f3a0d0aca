#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
struct HostStatus;

std::string
EncodeHostStatus(const HostStatus& aStatus);

/** Empty, with the reason, when the text is no status. */
std::optional<HostStatus>
DecodeHostStatus(const std::string& aText, Reason& aReason);

}
