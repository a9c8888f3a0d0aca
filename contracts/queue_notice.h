#pragma once

#include <compare>

namespace sardinecourse {

/** Jobs of the receiver's data centre were admitted or cancelled, so that its
 * holder need not wait for its next poll. */
struct QueueNotice
{
  auto operator<=>(const QueueNotice&) const = default;
};

}
