#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sardinecourse {

/** Encodes bytes as base64 with padding (RFC 4648, section 4). */
std::string
EncodeBase64(std::string_view aBytes);

/** Decodes padded base64; empty when the text is not valid base64. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

}
