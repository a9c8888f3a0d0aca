#include "core/identity_source.h"

#include <array>
#include <cstdio>

namespace sardinecourse {

namespace {

/** Seeds the generator with 128 bits. One call of the random device returns 32
 * bits, too few to avoid collisions between many processes. */
std::mt19937_64
SeededGenerator()
{
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  return std::mt19937_64(seed);
}

}

IdentitySource::IdentitySource()
  : random(SeededGenerator())
{
}

std::string
IdentitySource::Next()
{
  constexpr std::size_t kHexDigits = 32;
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(this->random()),
                static_cast<unsigned long long>(this->random()));
  return text.data();
}

}
