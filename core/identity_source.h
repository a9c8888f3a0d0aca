#pragma once

#include <random>
#include <string>

namespace sardinecourse {

/** Generates identities that are unique across processes: 128 random bits as 32
 * hexadecimal digits. */
class IdentitySource
{
public:
  IdentitySource();
  std::string Next();

private:
  std::mt19937_64 random;
};

}
