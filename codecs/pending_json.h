#pragma once

#include "core/names.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinecourse {

/** Encodes the number of waiting jobs of each queue as the JSON text stored in
 * its row. */
std::string
EncodePending(const std::map<QueueName, std::int64_t>& aPending);

/** Number of waiting jobs of a queue; 0 when the text is invalid, lacks the
 * queue or has a negative number for it. */
std::int64_t
DecodePending(const std::string& aText, const QueueName& aQueue);

}
