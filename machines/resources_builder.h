#pragma once

#include "machines/resources.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds Resources. Build() returns nullopt and sets aReason when an amount is
 * negative. */
class ResourcesBuilder
{
public:
  ResourcesBuilder& MilliCores(std::int64_t aMilliCores);
  ResourcesBuilder& MemoryMb(std::int64_t aMemoryMb);
  ResourcesBuilder& Accelerators(std::int64_t aAccelerators);
  std::optional<Resources> Build(Reason& aReason) const;

private:
  Resources value;
};

}
