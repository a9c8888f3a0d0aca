#pragma once

#include <random>
#include <string>

namespace sardinecourse {

/** Makes identities that no other process makes: 128 random bits in hex. */
class IdentitySource
{
public:
  IdentitySource();
  std::string Next();

private:
  std::mt19937_64 random;
};

}
