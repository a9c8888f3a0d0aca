#pragma once

#include <compare>

namespace sardinecourse {

/** Jobs in the receiver's data centre were admitted or cancelled, so that its
 * holder can act before its next poll. */
struct QueueNotice
{
  auto operator<=>(const QueueNotice&) const = default;
};

}
