#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Jobs of a data centre were admitted or cancelled, so that its holders need
 * not wait for their next poll. */
struct QueueNotice
{
  DataCentreName dataCentre;

  auto operator<=>(const QueueNotice&) const = default;
};

}
