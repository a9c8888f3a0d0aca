#pragma once

#include "core/names.h"
#include "machines/resources.h"

#include <compare>

namespace sardinecourse {

/** Tasks that may affect their neighbours on a worker alike: those of one queue
 * that need the same resources. */
struct KindOfWork
{
  ServiceName service;
  QueueName queue;
  Resources need;

  auto operator<=>(const KindOfWork&) const = default;
};

}
