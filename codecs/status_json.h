#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;
struct HostReport;
struct HostStatus;

/** Encodes an entry host's own status. */
std::string
EncodeHostStatus(const HostStatus& aStatus);

/** Empty, with the reason, when the text is not a status. */
std::optional<HostStatus>
DecodeHostStatus(const std::string& aText, Reason& aReason);

/** Encodes the status of all entry hosts; a host that did not answer has no
 * "status". */
std::string
EncodeHostReports(const std::vector<HostReport>& aReports);

}
