#pragma once

#include "zones/settings_tree.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a SettingsTree; Build() is empty, with the reason, when a place is
 * given twice or two teams of a data centre list the same service. */
class SettingsTreeBuilder
{
public:
  SettingsTreeBuilder& Scope(SettingsScope aScope,
                             const PolicyOverrides& aOverrides);
  std::optional<SettingsTree> Build(Reason& aReason) const;

private:
  SettingsTree value;
  /** The first place that was given twice. */
  std::optional<SettingsScope> repeated;
};

}
