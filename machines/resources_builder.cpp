#include "machines/resources_builder.h"

#include "core/reason.h"

#include <string>
#include <utility>

namespace sardinecourse {

namespace {

/** Keeps the sums over the tasks of all jobs within 64 bits. */
constexpr std::int64_t kMaxAmount = 1'000'000'000;

}

ResourcesBuilder&
ResourcesBuilder::MilliCores(std::int64_t aMilliCores)
{
  this->value.milliCores = aMilliCores;
  return *this;
}

ResourcesBuilder&
ResourcesBuilder::MemoryMb(std::int64_t aMemoryMb)
{
  this->value.memoryMb = aMemoryMb;
  return *this;
}

ResourcesBuilder&
ResourcesBuilder::Accelerators(std::int64_t aAccelerators)
{
  this->value.accelerators = aAccelerators;
  return *this;
}

std::optional<Resources>
ResourcesBuilder::Build(Reason& aReason) const
{
  if (this->value.milliCores < 0 || this->value.memoryMb < 0 ||
      this->value.accelerators < 0) {
    aReason =
      Reason(Step::kDecode, "", "resource amounts must not be negative");
    return std::nullopt;
  }
  if (this->value.milliCores > kMaxAmount ||
      this->value.memoryMb > kMaxAmount ||
      this->value.accelerators > kMaxAmount) {
    aReason =
      Reason(Step::kDecode,
             "",
             "resource amounts must not exceed " + std::to_string(kMaxAmount));
    return std::nullopt;
  }
  return this->value;
}

}
