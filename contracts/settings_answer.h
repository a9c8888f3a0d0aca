#pragma once

#include "contracts/accept_outcome.h"
#include "contracts/settings_record.h"
#include "core/reason.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** Answer to a settings proposal. */
struct SettingsAnswer
{
  AcceptOutcome outcome = AcceptOutcome::kNotKnown;
  /** The accepted change, or the conflicting change that was accepted first. */
  std::optional<SettingsRecord> record;
  Reason reason;

  auto operator<=>(const SettingsAnswer&) const = default;
};

}
