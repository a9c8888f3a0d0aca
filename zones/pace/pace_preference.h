#pragma once

#include <cstdint>

namespace sardinecourse {

/** Which workers a unit prefers by their pace. */
enum class PacePreference : std::uint8_t
{
  kNone,
  /** For units with tight objectives. */
  kFast,
  /** For units with slack, which leave the fast workers to others. */
  kSlow
};

}
