#pragma once

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class HostList;
class Reason;
class TableRow;
class TableTransaction;

// Messages of the platform's table. Each decoder returns empty, with the
// reason, when the text is not the expected message.

/** Encodes a request for the row with the given key. */
std::string
EncodeReadRequest(const std::string& aKey);
/** Encodes a request for all rows whose keys start with the prefix. */
std::string
EncodeScanRequest(const std::string& aPrefix);
/** Encodes a transaction; each value is stored together with the identity of
 * the attempt. */
std::string
EncodeTransaction(const TableTransaction& aTransaction,
                  const std::string& aAttempt);

/** Decodes a row as stored: its value still contains the identity of the
 * attempt (see DecodeStoredValue()). */
std::optional<TableRow>
DecodeRow(const std::string& aText, Reason& aReason);
/** Decodes the answer to a scan; values are as in DecodeRow(). */
std::optional<std::vector<TableRow>>
DecodeRows(const std::string& aText, Reason& aReason);
/** Decodes the list of live and of leaving hosts. */
std::optional<HostList>
DecodeHostList(const std::string& aText, Reason& aReason);

}
