#pragma once

#include "zones/settings_tree.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a SettingsTree. Build() returns nullopt and sets aReason when a scope
 * is added twice or two teams of a data centre list the same service. */
class SettingsTreeBuilder
{
public:
  SettingsTreeBuilder& Scope(SettingsScope aScope,
                             const PolicyOverrides& aOverrides);
  std::optional<SettingsTree> Build(Reason& aReason) const;

private:
  SettingsTree value;
  /** The first scope that was added twice. */
  std::optional<SettingsScope> duplicate;
};

}
