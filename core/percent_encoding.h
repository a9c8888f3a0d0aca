#pragma once

#include <string>
#include <string_view>

namespace sardinecourse {

/** Percent-encodes all but letters, digits, '-', '_' and '.', for use in a path
 * or a query (RFC 3986, section 2.1). */
std::string
PercentEncode(std::string_view aText);

/** Decodes percent-encoded bytes; malformed escapes are left unchanged. */
std::string
PercentDecode(std::string_view aText);

}
