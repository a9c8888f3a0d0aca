#include "contracts/policy.h"

#include "contracts/policy_key_traits.h"

namespace sardinecourse {

std::string_view
Policy::LogLevel() const
{
  const auto index =
    static_cast<std::size_t>(this->Value(PolicyKey::kLogLevel));
  return TraitsOf(PolicyKey::kLogLevel).choices[index];
}

}
