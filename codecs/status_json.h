#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;
struct HostReport;
struct HostStatus;

std::string
EncodeHostStatus(const HostStatus& aStatus);

/** Empty, with the reason, when the text is no status. */
std::optional<HostStatus>
DecodeHostStatus(const std::string& aText, Reason& aReason);

/** The status of all entry hosts; one that did not answer has none. */
std::string
EncodeHostReports(const std::vector<HostReport>& aReports);

}
