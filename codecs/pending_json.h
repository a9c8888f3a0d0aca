#pragma once

#include "core/names.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinecourse {

/** The stored form of how many jobs of each queue wait. */
std::string
EncodePending(const std::map<QueueName, std::int64_t>& aPending);

/** How many jobs of the queue wait; none when the text cannot be read
 * or says less than none. */
std::int64_t
DecodePending(const std::string& aText, const QueueName& aQueue);

}
