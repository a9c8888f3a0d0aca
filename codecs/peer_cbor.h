#pragma once

#include "contracts/peer_message.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Encodes a message as one flat CBOR array: protocol version, kind, fields. */
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/** Empty, with the reason, unless aBytes is exactly one well-formed message of
 * this protocol version. */
std::optional<PeerMessage>
DecodePeerMessage(const std::string& aBytes, Reason& aReason);

}
