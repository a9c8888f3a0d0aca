#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Amount of cores, memory and accelerators that a worker has or a task
 * needs. */
class Resources
{
public:
  Resources() = default;

  /** Thousandths of a core. */
  std::int64_t MilliCores() const { return this->milliCores; }
  std::int64_t MemoryMb() const { return this->memoryMb; }
  std::int64_t Accelerators() const { return this->accelerators; }

  Resources Plus(const Resources& aOther) const
  {
    return Resources(this->milliCores + aOther.milliCores,
                     this->memoryMb + aOther.memoryMb,
                     this->accelerators + aOther.accelerators);
  }
  Resources Minus(const Resources& aOther) const
  {
    return this->Plus(aOther.Times(-1));
  }
  Resources Times(std::int64_t aCount) const
  {
    return Resources(this->milliCores * aCount,
                     this->memoryMb * aCount,
                     this->accelerators * aCount);
  }

  /** Number of tasks with aNeed that fit into this amount; kUnbounded when
   * aNeed is zero. */
  std::int32_t CountFitting(const Resources& aNeed) const
  {
    std::int64_t count = kUnbounded;
    const auto limit = [&count](std::int64_t aAvailable,
                                std::int64_t aPerTask) {
      if (aPerTask > 0) {
        count =
          std::min(count, std::max<std::int64_t>(aAvailable, 0) / aPerTask);
      }
    };
    limit(this->milliCores, aNeed.milliCores);
    limit(this->memoryMb, aNeed.memoryMb);
    limit(this->accelerators, aNeed.accelerators);
    return static_cast<std::int32_t>(count);
  }

  auto operator<=>(const Resources&) const = default;

  static constexpr std::int64_t kUnbounded = 1'000'000;

private:
  friend class ResourcesBuilder;

  Resources(std::int64_t aMilliCores,
            std::int64_t aMemoryMb,
            std::int64_t aAccelerators)
    : milliCores(aMilliCores)
    , memoryMb(aMemoryMb)
    , accelerators(aAccelerators)
  {
  }

  std::int64_t milliCores = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
};

}
