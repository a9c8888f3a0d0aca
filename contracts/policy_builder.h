#pragma once

#include "contracts/policy.h"

namespace sardinecourse {

class PolicyOverrides;

/** Builds a Policy from the defaults and the overrides of each level, which
 * must be applied from the fleet downwards. It cannot fail, because overrides
 * are already validated. */
class PolicyBuilder
{
public:
  PolicyBuilder();
  PolicyBuilder& Override(SettingsLevel aLevel,
                          const PolicyOverrides& aOverrides);
  Policy Build() const { return this->value; }

private:
  Policy value;
};

}
