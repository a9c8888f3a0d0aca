#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class HostList;
class Reason;
class TableRow;
class TableTransaction;

/** The platform's messages. Decoders are empty, with the reason, when a text
 * is no such message. */
std::string
EncodeReadRequest(const std::string& aKey);
std::string
EncodeScanRequest(const std::string& aPrefix);
/** Each value is stored together with the identity of the attempt. */
std::string
EncodeTransaction(const TableTransaction& aTransaction,
                  const std::string& aAttempt);

/** Rows as stored: their values still carry the attempt. */
std::optional<TableRow>
DecodeRow(const std::string& aText, Reason& aReason);
std::optional<std::vector<TableRow>>
DecodeRows(const std::string& aText, Reason& aReason);
std::optional<HostList>
DecodeHostList(const std::string& aText, Reason& aReason);

}
